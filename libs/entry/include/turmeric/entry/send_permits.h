#pragma once

#include <chrono>
#include <functional>
#include <span>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "turmeric/routing/upstream.h"

namespace turmeric::entry {

class UpstreamLimiter;

/**
 * The permits of one request for upstreams that state a rate limit. The request
 * first takes the upstream that is chosen for it, if there is a permit at once.
 * Otherwise another one is chosen. If none is left, it takes any upstream with
 * a limit for which a permit is due soon enough.
 */
class SendPermits {
 public:
  using Clock = routing::Clock;
  /** Receives the upstream that the request may be sent to at once, or nullptr.
   * The callback may be called after this object was destroyed. */
  using Callback = std::function<void(const routing::UpstreamPtr&)>;

  /** @param limiter must outlive this. @param service of the request. */
  SendPermits(UpstreamLimiter& limiter, std::string service)
      : limiter_(limiter), service_(std::move(service)) {}

  /**
   * @param tried ids of upstreams that the request was sent to.
   * @param now current time.
   * @return ids of the upstreams that the next choice must not return.
   */
  std::vector<std::string> Excluded(std::span<const std::string> tried,
                                    Clock::time_point now) const;
  /**
   * Obtains a permit for the chosen upstream, which is excluded afterwards if
   * there is none.
   * @param upstream the choice.
   * @param done see Callback; nullptr: another one must be chosen.
   * @param now current time.
   */
  void Acquire(const routing::UpstreamPtr& upstream, Callback done,
               Clock::time_point now);
  /**
   * Obtains a permit for any upstream with a limit, once for each send.
   * @param version software version of the upstream; empty: any.
   * @param tried ids of upstreams that the request was sent to.
   * @param max_wait longest wait for the permit.
   * @param done see Callback; nullptr: there is no permit within that wait.
   * @param now current time.
   * @return false if there is no such upstream, or a permit was requested
   *     before; `done` is not called then.
   */
  bool AcquireAny(std::string_view version, std::span<const std::string> tried,
                  std::chrono::milliseconds max_wait, Callback done,
                  Clock::time_point now);
  /** @return true if a permit for any upstream was requested in vain. */
  bool exhausted() const { return any_requested_; }
  /** Called when the request is sent. */
  void OnSent();

 private:
  UpstreamLimiter& limiter_;
  std::string service_;
  std::vector<std::string> refused_;  ///< Upstreams without a permit.
  bool any_requested_ = false;
};

/**
 * @param until_target time left to the request's latency target.
 * @param until_limit time left to its deadline.
 * @return the longest wait for a permit that leaves time for the answer.
 */
std::chrono::milliseconds MaxPermitWait(std::chrono::milliseconds until_target,
                                        std::chrono::milliseconds until_limit);

}  // namespace turmeric::entry
