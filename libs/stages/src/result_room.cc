#include "turmeric/stages/result_room.h"

#include <algorithm>
#include <numeric>

namespace turmeric::stages {

namespace {

/** Results of processes that have ended lapse within some seconds; a call every
 * so often finds out, at the price of one try for the pieces in it. */
constexpr std::chrono::milliseconds kUnknownFor{500};

}  // namespace

void ResultRoom::Hold(const std::string& handle, int64_t bytes,
                      Clock::time_point till) {
  held_[handle] = {bytes, till};
}

// Guard: an upstream without room turns its pieces down within a millisecond
// and is free again while the others work. Called again at once, it takes the
// whole queue a few times over, until the pieces have failed too often and
// their callers are refused. With what seemed left counted as taken, it gets
// only what fits into room that our own results have freed.
void ResultRoom::NoteFull(int64_t left, Clock::time_point now) {
  unknown_ = std::max<int64_t>(0, left);
  unknown_till_ = now + kUnknownFor;
}

int64_t ResultRoom::Used(Clock::time_point now) {
  std::erase_if(held_,
                [&](const auto& held) { return held.second.till < now; });
  const int64_t unknown = now < unknown_till_ ? unknown_ : 0;
  return std::accumulate(
      held_.begin(), held_.end(), reserved_ + unknown,
      [](int64_t sum, const auto& held) { return sum + held.second.bytes; });
}

}  // namespace turmeric::stages
