#pragma once

#include "turmeric/entry/wire_format.h"
#include "turmeric/routing/upstream.h"

namespace turmeric::entry {

struct EntryContext;

/** Tracks the request rate limits that upstreams state in their answers. */
class UpstreamLimiter {
 public:
  using Clock = routing::Clock;

  /** @param context the instance's state; must outlive this. */
  explicit UpstreamLimiter(EntryContext& context) : context_(context) {}

  /**
   * Applies the limit that an answer states, or the absence of one.
   * @param upstream the upstream that answered.
   * @param status status of the answer.
   * @param info decoded from the head of the answer.
   * @param sent_at when the request was sent.
   */
  void OnAnswer(routing::Upstream& upstream, int status, const AnswerInfo& info,
                Clock::time_point sent_at);
  /**
   * Records a request that is sent to an upstream.
   * @param upstream the receiver.
   */
  void OnSend(const routing::Upstream& upstream) const;

 private:
  EntryContext& context_;
};

}  // namespace turmeric::entry
