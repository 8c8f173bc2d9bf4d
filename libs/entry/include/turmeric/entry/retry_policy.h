#pragma once

#include <chrono>
#include <cstddef>

namespace turmeric::entry {

/** What became of a request's last send. */
enum class SendEnd {
  kUnreached,  ///< No upstream received it.
  kNotRun,     ///< An upstream said that it has not run.
  kMayHaveRun,
};

/** What a repeat is decided by. */
struct RepeatState {
  SendEnd end = SendEnd::kMayHaveRun;
  bool caller_waits = true;
  std::chrono::milliseconds left{0};  ///< Until the request's limit.
  int reached = 0;                    ///< Sends that an upstream received.
  int max_sends = 1;  ///< As the route allows for what may have run.
  size_t tried = 0;   ///< Upstreams tried, reached or not.
};

/** Whether a request may be sent once more. */
enum class Repeat {
  kNo,
  kFree,        ///< It is no repeat at any upstream.
  kFromBudget,  ///< If the retry budget has one left.
};

/**
 * Answers a crash of many upstreams at once: what none of them has received
 * costs nothing of the budget, which a crash of a quarter of the engines used
 * up in a second, so that 377 callers of a day were refused while the other
 * engines had room.
 * @param state see RepeatState; whether the kind of request may run again is
 *     the caller's to know.
 * @return whether it may be sent once more.
 */
Repeat MayRepeat(const RepeatState& state);

}  // namespace turmeric::entry
