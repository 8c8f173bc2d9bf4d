#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

#include "turmeric/entry/held_answer.h"
#include "turmeric/entry/upstream_client.h"
#include "turmeric/entry/wire_format.h"
#include "turmeric/http/client_connection.h"
#include "turmeric/routing/upstream.h"

namespace turmeric::entry {

struct EntryContext;
class EnginePlacement;

/**
 * Callbacks of a send. Each callback may replace or destroy the UpstreamSend.
 */
struct UpstreamSendEvents {
  /** Called with the bytes of an event stream as they arrive. */
  std::function<void(std::string_view)> on_stream_bytes;
  /** Called with the parts of a large response that is forwarded before its
   * end; see UpstreamSend::forwarded(). */
  std::function<void(std::string_view)> on_forwarded_bytes;
  /** Called when the response is complete; see UpstreamSend::head(). */
  std::function<void()> on_end;
  /** Called when the exchange fails before the response is complete. */
  std::function<void(http::ExchangeFailure)> on_failure;
  /**
   * Called when the response exceeds the limit for buffered responses; the send
   * is already cancelled.
   */
  std::function<void()> on_too_large;
  /**
   * Called when the response is given up because the memory of the instance is
   * full; the send is already cancelled.
   */
  std::function<void()> on_given_up;
};

/** Parameters of one send. */
struct UpstreamSendSpec {
  routing::UpstreamPtr upstream;
  /** Id of the request, which its response echoes. */
  std::string attempt_id;
  double prompt_ms = 0;
  /** The request's placement, if the upstream is an engine. */
  std::unique_ptr<EnginePlacement> placement;
  /** A response with status 200 is an event stream. */
  bool may_be_stream = false;
  /** A large response may be forwarded before its end: the caller has received
   * no part of an earlier one. */
  bool may_forward = true;
};

/**
 * One send of a request to one upstream: buffers or streams the response,
 * accounts for the request's load on the upstream, and records the outcome in
 * the upstream's history.
 */
class UpstreamSend {
 public:
  /**
   * @param context the instance's state; must outlive this.
   * @param spec see UpstreamSendSpec.
   * @param events see UpstreamSendEvents.
   */
  UpstreamSend(EntryContext& context, UpstreamSendSpec spec,
               UpstreamSendEvents events);
  ~UpstreamSend();
  UpstreamSend(const UpstreamSend&) = delete;
  UpstreamSend& operator=(const UpstreamSend&) = delete;

  /** @param bytes the whole serialized request. */
  void Start(std::string_view bytes);
  /**
   * Ends the send.
   * @param outcome recorded in the upstream's history.
   */
  void End(routing::Outcome outcome);
  /**
   * Cancels the exchange if it is open, then ends the send.
   * @param outcome as in End.
   */
  void Cancel(routing::Outcome outcome);
  /**
   * Cancels the exchange without recording an outcome, because the caller has
   * disconnected.
   */
  void Abandon();
  /**
   * @param paused true: stop reading the response, so that TCP flow control
   *     slows the upstream down; false: resume.
   */
  void PauseReading(bool paused);
  /**
   * Called when the upstream has begun to respond: the prompt is read and no
   * longer counts as load.
   */
  void OnPromptRead();

  /** @return number of the connection, see UpstreamExchange; 0 before Start. */
  uint64_t connection_id() const { return connection_id_; }
  /** @return position of the exchange on its connection, from 1. */
  int exchange_number() const { return exchange_number_; }
  /** @return true until the send has ended. */
  bool open() const { return exchange_ != nullptr; }
  /** @return true once the head of the response to this request has arrived. */
  bool has_head() const { return has_head_; }
  /** @return true once parts of a response that is no event stream have been
   * forwarded: the request can no longer get another response. */
  bool forwarded() const { return forwarded_; }
  /** @return the length that the response states; nullopt: none. */
  std::optional<uint64_t> stated_length() const;
  /** @return true if the response is an event stream. */
  bool IsEventStream() const;
  /** @return the upstream that the request was sent to. */
  const routing::UpstreamPtr& upstream() const { return spec_.upstream; }
  /**
   * @return the response head without hop-by-hop header fields; empty before
   *     has_head().
   */
  const http::ResponseHead& head() const { return head_; }
  /**
   * @return information decoded from the response head; empty before
   *     has_head().
   */
  const AnswerInfo& info() const { return info_; }
  /** @return true if the response has neither a length nor chunks, so that its
   * end does not show whether it is whole. */
  bool ends_with_connection() const { return ends_with_connection_; }
  /** @return the response body; empty for event streams and for responses that
   * were forwarded before their end. */
  const std::string& body() const { return body_; }

 private:
  http::ResponseBinding Binding();
  http::ExchangeEvents AnswerEvents();
  void OnHead(const http::ResponseHead& head);
  void OnBody(std::string_view bytes);
  bool MayForward() const;
  size_t MaxHeldBytes() const;
  void GiveUp();
  /** Learns the speed of the upstream from the head of the answer. */
  void LearnSpeed(const http::ResponseHead& head);
  void EndLoad();

  EntryContext& context_;
  UpstreamSendSpec spec_;
  UpstreamSendEvents events_;
  std::shared_ptr<UpstreamExchange> exchange_;
  uint64_t connection_id_ = 0;
  int exchange_number_ = 0;
  routing::Clock::time_point sent_at_;
  std::optional<balancing::OpenSend> counted_;  ///< In the upstream's load.
  http::ResponseHead head_;
  AnswerInfo info_;
  bool has_head_ = false;
  bool ends_with_connection_ = false;
  bool forwarded_ = false;
  std::string stated_length_;
  std::string body_;
  HeldAnswer held_;  ///< Charge of `body_`.
};

}  // namespace turmeric::entry
