#include "turmeric/stages/late_rate.h"

#include <cmath>
#include <cstdint>

namespace turmeric::stages {

using std::chrono::milliseconds;

namespace {

/** Time over which the rate is an average, and that must have been seen before
 * it says anything: three calls of a stage upstream. */
constexpr milliseconds kWindow{1000};
/** Late pieces that were not noted for so long have not waited all the while;
 * a queue with pieces is looked at several times as often. */
constexpr milliseconds kLongestGap{250};
/** Reached "never": later than any deadline. */
constexpr std::chrono::hours kNever{1};

double InWindows(Clock::duration time) {
  return std::chrono::duration<double>(time) /
         std::chrono::duration<double>(kWindow);
}

}  // namespace

double LateRate::Decay(Clock::time_point now) const {
  return std::exp(-InWindows(now - counted_at_));
}

void LateRate::NoteWaiting(bool waiting, Clock::time_point now) {
  // Guard: an empty queue is not looked at, so its late pieces seem to wait on.
  // What comes after a quiet time would be held against the rate of that time,
  // which is none, and refused while upstreams are free.
  const bool went_on = waiting_ && now - noted_at_ < kLongestGap;
  noted_at_ = now;
  if (waiting && !went_on) {
    since_ = now;
    counted_at_ = now;
    taken_ = 0;
  }
  waiting_ = waiting;
}

void LateRate::NoteTaken(size_t pieces, Clock::time_point now) {
  taken_ = taken_ * Decay(now) + static_cast<double>(pieces);
  counted_at_ = now;
}

Clock::time_point LateRate::ReachedAt(size_t position,
                                      Clock::time_point now) const {
  if (!waiting_ || now - since_ < kWindow) return now;
  // What was seen for a short while only weighs less than a whole window.
  const double seen = 1 - std::exp(-InWindows(now - since_));
  const double per_window = taken_ * Decay(now) / seen;
  const double windows = static_cast<double>(position + 1) / per_window;
  const double longest = InWindows(kNever);
  if (!(windows < longest)) return now + kNever;
  return now + milliseconds(static_cast<int64_t>(
                   windows * static_cast<double>(kWindow.count())));
}

}  // namespace turmeric::stages
