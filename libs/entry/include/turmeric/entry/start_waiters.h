#pragma once

#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <utility>

namespace turmeric::entry {

/** The requests that wait until an instance that has started has read the
 * configuration and the list of upstreams. */
class StartWaiters {
 public:
  /** Bounds the memory of requests that wait. */
  static constexpr size_t kMaxWaiters = 512;

  /** @param on_ready called once the instance can admit requests.
   * @return to be passed to Remove; nullopt: too many requests wait. */
  std::optional<uint64_t> Add(std::function<void()> on_ready) {
    if (waiters_.size() >= kMaxWaiters) return std::nullopt;
    waiters_.emplace(++last_ticket_, std::move(on_ready));
    return last_ticket_;
  }
  /** @param ticket of a request that no longer waits. */
  void Remove(uint64_t ticket) { waiters_.erase(ticket); }
  /** Calls all waiters, in the order of their arrival. */
  void Release() {
    for (const auto& [ticket, on_ready] : std::exchange(waiters_, {})) {
      on_ready();
    }
  }

 private:
  std::map<uint64_t, std::function<void()>> waiters_;  ///< By ticket.
  uint64_t last_ticket_ = 0;
};

}  // namespace turmeric::entry
