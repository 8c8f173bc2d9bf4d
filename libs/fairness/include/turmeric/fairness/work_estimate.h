#pragma once

#include <chrono>

namespace turmeric::fairness {

/**
 * Learned upstream time of the requests of one route. Overload makes requests
 * wait in front of upstreams, and a mean would take the wait for work. The
 * estimate therefore follows shorter times fast and longer times slowly, so
 * that it stays near the time without a queue.
 */
class WorkEstimate {
 public:
  /** @param time from the admission of a request to its answer. */
  void Note(std::chrono::duration<double, std::milli> time);
  /** @return the estimate in slot milliseconds; 100 until the first answer. */
  double work() const { return work_; }

 private:
  double work_ = 100;
  bool has_sample_ = false;
};

}  // namespace turmeric::fairness
