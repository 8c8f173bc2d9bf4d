#include "turmeric/stages/result_memory.h"

#include <algorithm>
#include <numeric>

namespace turmeric::stages {

namespace {

/** How long the memory of untracked results counts as used. Results of
 * processes that have ended expire within some seconds; one call per interval
 * tests for free memory, which costs the pieces in it one attempt. */
constexpr std::chrono::milliseconds kUntrackedDuration{500};

}  // namespace

void ResultMemory::Hold(const std::string& handle, int64_t bytes,
                        Clock::time_point until) {
  held_[handle] = {bytes, until};
}

// Guard: an upstream without memory rejects its pieces within a millisecond and
// is then free while the others work. If called again at once, it would take
// the whole queue several times, until the pieces have failed too often and
// their callers are refused. As the memory that seemed available counts as
// used, the upstream gets only pieces that fit into the memory of tracked
// results that were released.
void ResultMemory::NoteFull(int64_t left, Clock::time_point now) {
  untracked_ = std::max<int64_t>(0, left);
  untracked_until_ = now + kUntrackedDuration;
}

int64_t ResultMemory::Used(Clock::time_point now) {
  std::erase_if(held_,
                [&](const auto& held) { return held.second.until < now; });
  const int64_t untracked = now < untracked_until_ ? untracked_ : 0;
  return std::accumulate(
      held_.begin(), held_.end(), reserved_ + untracked,
      [](int64_t sum, const auto& held) { return sum + held.second.bytes; });
}

}  // namespace turmeric::stages
