#pragma once

#include <cstddef>
#include <functional>
#include <utility>
#include <vector>

namespace turmeric::entry {

/** The requests that wait until an instance that has started has read the
 * configuration and the list of upstreams. */
class StartWaiters {
 public:
  /** Bounds the memory of requests that wait. */
  static constexpr size_t kMaxWaiters = 512;

  /** @param on_ready called once the instance can admit requests.
   * @return false if too many requests wait. */
  bool Add(std::function<void()> on_ready) {
    if (waiters_.size() >= kMaxWaiters) return false;
    waiters_.push_back(std::move(on_ready));
    return true;
  }
  /** Calls all waiters, in the order of their arrival. */
  void Release() {
    for (const auto& on_ready : std::exchange(waiters_, {})) on_ready();
  }

 private:
  std::vector<std::function<void()>> waiters_;
};

}  // namespace turmeric::entry
