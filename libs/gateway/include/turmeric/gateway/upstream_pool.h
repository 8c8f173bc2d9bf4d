#pragma once

#include <cstdint>
#include <random>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace turmeric::gateway {

/** How a stage picks among its pool's upstreams. */
enum class RoutingPolicy {
  kPowerOfTwo,  ///< Two random upstreams, the less loaded one wins.
  kRoundRobin,  ///< The baseline: next upstream in turn.
};

/** What one entry instance knows of one upstream. */
struct UpstreamState {
  std::string address;     ///< "ip:port".
  int inflight = 0;        ///< Our calls now open to it.
  int reported_depth = 0;  ///< Its last (lagged) queue-depth report.
  bool leaving = false;    ///< Told it is leaving: no new work.
  int64_t picks = 0;       ///< Calls sent, for the operator.
};

/** The upstreams of one pool and the choice among them. */
class UpstreamPool {
 public:
  /**
   * Replaces the address list; upstreams kept keep their state.
   * @param addresses "ip:port" each, from the settings tree.
   */
  void SetAddresses(std::span<const std::string> addresses);
  /**
   * @param policy routing policy.
   * @param rng random source (seeded by the caller).
   * @param exclude index not to pick (the one that just failed), or -1.
   * @return chosen index, or -1 if none is eligible.
   */
  int Pick(RoutingPolicy policy, std::mt19937_64& rng, int exclude = -1);
  /** @param index upstream a call was sent to. */
  void OnSend(int index);
  /**
   * @param index upstream the call went to.
   * @param reported_depth depth from its answer, or -1 if none.
   * @param leaving true if it said it is leaving.
   */
  void OnAnswer(int index, int reported_depth, bool leaving);
  /** @param address upstream the instance list says is leaving. */
  void MarkLeaving(std::string_view address) { SetLeaving(address, true); }
  /**
   * @param address an upstream.
   * @param leaving true: give it no new work; false: it is live again.
   */
  void SetLeaving(std::string_view address, bool leaving);
  /** @return upstreams, in settings order. */
  std::span<const UpstreamState> upstreams() const { return upstreams_; }

 private:
  std::vector<UpstreamState> upstreams_;
  size_t next_ = 0;
};

}  // namespace turmeric::gateway
