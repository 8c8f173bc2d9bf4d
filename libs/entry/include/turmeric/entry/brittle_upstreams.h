#pragma once

#include <functional>
#include <map>
#include <memory>
#include <string>

#include "turmeric/entry/wire_format.h"
#include "turmeric/peer/frame.h"
#include "turmeric/routing/upstream_table.h"

namespace turmeric::entry {

/**
 * The upstreams that state in their answers that they are brittle: they fail
 * when they turn too many requests away. What one instance is told, it passes
 * on to all. Requests to a service with brittle upstreams are placed by the
 * owner of the upstreams, which knows the requests of all instances.
 */
class BrittleUpstreams {
 public:
  using Clock = routing::Clock;
  /** Adds to the next frame to each reachable instance. */
  using Broadcast =
      std::function<void(const std::function<void(peer::Frame&)>&)>;

  /** @param upstreams all upstreams; must outlive this. @param broadcast see
   * Broadcast. */
  BrittleUpstreams(const routing::UpstreamTable& upstreams,
                   Broadcast broadcast);

  /**
   * Applies what an answer states.
   * @param upstream the upstream that answered.
   * @param status status of the answer.
   * @param info decoded from the head of the answer.
   * @param sent_at when the request was sent.
   * @param now current time.
   */
  void OnAnswer(routing::Upstream& upstream, int status, const AnswerInfo& info,
                Clock::time_point sent_at, Clock::time_point now);
  /** @param frame a peer's frame; its notices are applied. */
  void OnFrame(const peer::Frame& frame);
  /** @param frame the first frame to a peer; receives what is known. */
  void AddKnown(peer::Frame& frame) const;
  /** @param service name of a service.
   * @return true if any of its upstreams is brittle. */
  bool Any(const std::string& service) const;

 private:
  bool Apply(routing::Upstream& upstream,
             const limits::BrittleStatement& statement);

  const routing::UpstreamTable& upstreams_;
  Broadcast broadcast_;
  /** Upstreams with a statement, by process incarnation. */
  std::map<std::string, std::weak_ptr<const routing::Upstream>> stated_;
};

}  // namespace turmeric::entry
