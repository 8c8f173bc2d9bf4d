#pragma once

#include <functional>
#include <memory>
#include <string>
#include <string_view>

#include "turmeric/entry/upstream_client.h"
#include "turmeric/entry/wire_format.h"
#include "turmeric/http/client_connection.h"
#include "turmeric/routing/upstream.h"

namespace turmeric::entry {

struct EntryContext;
class EnginePlacement;

/** Told how a send goes. Each may replace or drop the UpstreamSend. */
struct UpstreamSendEvents {
  /** Bytes of an event stream, as they arrive. */
  std::function<void(std::string_view)> on_stream_bytes;
  /** The answer ended; see UpstreamSend::head(). */
  std::function<void()> on_end;
  /** No whole answer will come. */
  std::function<void(http::ExchangeFailure)> on_failure;
  /** The answer is larger than is held in memory; the send is cancelled. */
  std::function<void()> on_too_large;
};

/** What a send is made of. */
struct UpstreamSendSpec {
  routing::UpstreamPtr upstream;
  std::string attempt_id;  ///< The request's; answers must echo it.
  double prompt_ms = 0;    ///< Counts as the upstream's load till it reads.
  /** Its place on the engine, if the upstream is one. */
  std::unique_ptr<EnginePlacement> placement;
  bool may_be_stream = false;  ///< A 200 is an event stream.
};

/**
 * One send of a request to one upstream: keeps its answer, accounts for its
 * load on the upstream, and notes how the upstream did.
 */
class UpstreamSend {
 public:
  /** @param context the instance's state; must outlive this.
   * @param spec see UpstreamSendSpec. @param events see UpstreamSendEvents. */
  UpstreamSend(EntryContext& context, UpstreamSendSpec spec,
               UpstreamSendEvents events);
  ~UpstreamSend();
  UpstreamSend(const UpstreamSend&) = delete;
  UpstreamSend& operator=(const UpstreamSend&) = delete;

  /** @param bytes the whole request, as it goes on the wire. */
  void Start(std::string_view bytes);
  /** Ends it. @param outcome how the upstream did, for later choices. */
  void End(routing::Outcome outcome);
  /** Cancels it if it is open, then ends it. @param outcome as in End. */
  void Cancel(routing::Outcome outcome);
  /** Cancels it without a judgement: the caller has gone. */
  void Drop();
  /** @param paused whether the upstream is held back. */
  void PauseReading(bool paused);
  /** The upstream has begun to answer: the prompt is read. */
  void PromptRead();

  /** @return true until it ended. */
  bool open() const { return exchange_ != nullptr; }
  /** @return true once the head of an answer to this request came. */
  bool has_head() const { return has_head_; }
  /** @return true if the answer is an event stream. */
  bool IsEventStream() const;
  /** @return where it was sent. */
  const routing::UpstreamPtr& upstream() const { return spec_.upstream; }
  /** @return the answer's head without fields of the connection; empty before
   * has_head(). */
  const http::ResponseHead& head() const { return head_; }
  /** @return what the head says besides; empty before has_head(). */
  const AnswerInfo& info() const { return info_; }
  /** @return the body, but for event streams. */
  const std::string& body() const { return body_; }

 private:
  http::ExchangeEvents AnswerEvents();
  bool OnHead(const http::ResponseHead& head);
  void OnBody(std::string_view bytes);

  EntryContext& context_;
  UpstreamSendSpec spec_;
  UpstreamSendEvents events_;
  std::shared_ptr<UpstreamExchange> exchange_;
  routing::Clock::time_point sent_at_;
  http::ResponseHead head_;
  AnswerInfo info_;
  bool has_head_ = false;
  std::string body_;
};

}  // namespace turmeric::entry
