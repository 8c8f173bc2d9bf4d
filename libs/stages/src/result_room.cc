#include "turmeric/stages/result_room.h"

#include <numeric>

namespace turmeric::stages {

void ResultRoom::Hold(const std::string& handle, int64_t bytes,
                      Clock::time_point till) {
  held_[handle] = {bytes, till};
}

int64_t ResultRoom::Used(Clock::time_point now) {
  std::erase_if(held_,
                [&](const auto& held) { return held.second.till < now; });
  return std::accumulate(
      held_.begin(), held_.end(), reserved_,
      [](int64_t sum, const auto& held) { return sum + held.second.bytes; });
}

}  // namespace turmeric::stages
