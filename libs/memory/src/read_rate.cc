#include "turmeric/memory/read_rate.h"

namespace turmeric::memory {

void ReadRate::Sample(uint64_t sent, bool waiting, Clock::time_point now) {
  if (!waiting) return points_.clear();
  points_.push_back({now, sent});
  while (points_.size() > 2 && now - points_[1].at >= kWindow) {
    points_.pop_front();
  }
}

std::optional<double> ReadRate::rate() const {
  if (points_.size() < 2) return std::nullopt;
  const auto time = points_.back().at - points_.front().at;
  if (time < kWindow) return std::nullopt;
  return static_cast<double>(points_.back().sent - points_.front().sent) /
         std::chrono::duration<double>(time).count();
}

}  // namespace turmeric::memory
