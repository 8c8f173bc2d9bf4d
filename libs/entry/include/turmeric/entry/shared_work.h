#pragma once

#include <functional>
#include <utility>

namespace turmeric::entry {

/** The work in progress of one request at a service whose capacity is shared.
 * Ends with the object at the latest. */
class SharedWork {
 public:
  /** Called once. @param answered true if an upstream answered the request. */
  using EndCallback = std::function<void(bool answered)>;

  /** @param on_end see EndCallback. */
  explicit SharedWork(EndCallback on_end) : on_end_(std::move(on_end)) {}
  ~SharedWork() { End(false); }
  SharedWork(const SharedWork&) = delete;
  SharedWork& operator=(const SharedWork&) = delete;

  /** Ends the work; later calls change nothing.
   * @param answered see EndCallback. */
  void End(bool answered) {
    if (auto callback = std::exchange(on_end_, nullptr)) callback(answered);
  }

 private:
  EndCallback on_end_;
};

}  // namespace turmeric::entry
