#pragma once

#include <chrono>
#include <functional>
#include <string>
#include <string_view>

#include "turmeric/routing/upstream.h"

namespace turmeric::peer {
struct AvailabilityNotice;
struct Frame;
}  // namespace turmeric::peer

namespace turmeric::routing {
class UpstreamTable;
}

namespace turmeric::entry {

class EntryMetrics;
struct AnswerInfo;

/** Connections of UpstreamAvailability to the other parts of the instance. */
struct AvailabilityLinks {
  /** Adds to the next frame to each reachable instance. */
  std::function<void(const std::function<void(peer::Frame&)>&)> broadcast;
  /** Called when an upstream has begun to leave. */
  std::function<void()> on_leaving;
  /** @return true if requests reach the upstream by tunnels from or to this
   * instance: it then sees one instance where another one sends. */
  std::function<bool(const routing::Upstream&)> uses_tunnels;
  /** Called when an upstream no longer takes requests, for a while or for
   * good. */
  std::function<void(const routing::UpstreamPtr&)> on_unavailable;
};

/**
 * Records which upstreams state in their answers that they leave, or that they
 * want a rest from this instance. That an upstream leaves holds for all
 * instances and is passed on to them. A rest holds for this one, and for those
 * that share tunnels to the upstream; the others learn of it and use the
 * upstream only if no other is left.
 */
class UpstreamAvailability {
 public:
  using Clock = routing::Clock;

  /**
   * @param upstreams all upstreams; must outlive this.
   * @param metrics counters of this instance; must outlive this.
   * @param links see AvailabilityLinks.
   */
  UpstreamAvailability(routing::UpstreamTable& upstreams, EntryMetrics& metrics,
                       AvailabilityLinks links);

  /**
   * Applies what an answer to a request of this instance states.
   * @param upstream the upstream that answered.
   * @param status status of the answer.
   * @param info decoded from the head of the answer.
   * @param now current time.
   */
  void OnAnswer(const routing::UpstreamPtr& upstream, int status,
                const AnswerInfo& info, Clock::time_point now);
  /**
   * Records a request that is sent to an upstream.
   * @param upstream the receiver.
   * @param request id of the request; of one of them, for a call of several.
   * @param now current time.
   */
  void OnSend(const routing::Upstream& upstream, std::string_view request,
              Clock::time_point now);
  /**
   * Applies the notices of a peer's frame.
   * @param peer name of the peer. @param frame its frame.
   * @param now current time.
   */
  void OnFrame(std::string_view peer, const peer::Frame& frame,
               Clock::time_point now);
  /** @param frame the first frame to a peer; receives what is known. */
  void AddKnown(peer::Frame& frame) const;

 private:
  /** @param source what has told it, for the log.
   * @return true if that was not known. */
  bool SetLeaving(const routing::UpstreamPtr& upstream,
                  std::string_view source);
  /** Records a rest. @param source as above. @return true if it is later than
   * known. */
  bool Rest(const routing::UpstreamPtr& upstream,
            std::chrono::milliseconds time, std::string_view source,
            Clock::time_point now);
  void Broadcast(const peer::AvailabilityNotice& notice) const;

  routing::UpstreamTable& upstreams_;
  EntryMetrics& metrics_;
  AvailabilityLinks links_;
};

}  // namespace turmeric::entry
