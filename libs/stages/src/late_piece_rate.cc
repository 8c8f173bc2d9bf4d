#include "turmeric/stages/late_piece_rate.h"

#include <cmath>
#include <cstdint>

namespace turmeric::stages {

using std::chrono::milliseconds;

namespace {

/** Averaging window of the rate; the rate is used only after late pieces have
 * waited for a whole window. The window is the duration of three calls to a
 * stage upstream. */
constexpr milliseconds kWindow{1000};
/** Time between two calls of NoteWaiting from which late pieces no longer count
 * as waiting continuously. A queue that is not empty is checked several times
 * within this time. */
constexpr milliseconds kMaxUpdateGap{250};
/** Time added for a piece that no call is expected to take: later than any
 * deadline. */
constexpr std::chrono::hours kNever{1};

double InWindows(Clock::duration time) {
  return std::chrono::duration<double>(time) /
         std::chrono::duration<double>(kWindow);
}

}  // namespace

double LatePieceRate::Decay(Clock::time_point now) const {
  return std::exp(-InWindows(now - counted_at_));
}

void LatePieceRate::NoteWaiting(bool waiting, Clock::time_point now) {
  // Guard: an empty queue is not checked, so its last state (late pieces wait)
  // remains. Late pieces enqueued after an idle time would be judged by the
  // rate of that time, which is 0, and be refused while upstreams are free.
  const bool still_waiting = waiting_ && now - updated_at_ < kMaxUpdateGap;
  updated_at_ = now;
  if (waiting && !still_waiting) {
    waiting_since_ = now;
    counted_at_ = now;
    taken_ = 0;
  }
  waiting_ = waiting;
}

void LatePieceRate::NoteTaken(size_t pieces, Clock::time_point now) {
  taken_ = taken_ * Decay(now) + static_cast<double>(pieces);
  counted_at_ = now;
}

Clock::time_point LatePieceRate::ReachedAt(size_t position,
                                           Clock::time_point now) const {
  if (!waiting_ || now - waiting_since_ < kWindow) return now;
  // Corrects the average for the part of the window before `waiting_since_`.
  const double seen = 1 - std::exp(-InWindows(now - waiting_since_));
  const double per_window = taken_ * Decay(now) / seen;
  const double windows = static_cast<double>(position + 1) / per_window;
  const double longest = InWindows(kNever);
  if (!(windows < longest)) return now + kNever;
  return now + milliseconds(static_cast<int64_t>(
                   windows * static_cast<double>(kWindow.count())));
}

}  // namespace turmeric::stages
