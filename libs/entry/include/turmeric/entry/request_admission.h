#pragma once

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include "turmeric/entry/retry_after.h"
#include "turmeric/routing/route_table.h"
#include "turmeric/routing/upstream.h"

namespace turmeric::entry {

struct CallerRequest;

/** Most pieces of one request, of all its stages together. */
inline constexpr int64_t kMaxPieces = 4096;

/** Why a request is refused before anything is sent for it. */
enum class AdmissionRefusal {
  kNone,
  kNotReady,  ///< The configuration or the list of upstreams has not been read.
  kStoreUnreachable,  ///< As kNotReady, and the store does not answer.
  kNoRoute,           ///< No route of the host matches the path.
  kStopping,          ///< The request would outlast this process.
  kUnknownKey,        ///< The route needs a key; no organisation has this key.
  /** No matching route or key in a configuration that may be stale. */
  kConfigUnconfirmed,
  kTooManyPieces,  ///< Its stages have more pieces than kMaxPieces.
};

/** State of this instance when a request arrives. */
struct AdmissionState {
  const routing::RouteTable* table = nullptr;
  bool upstreams_known = false;    ///< Their list was read at least once.
  bool store_unreachable = false;  ///< Calls to the store fail.
  /** Time since a planned stop began; none: no stop has begun. */
  std::optional<std::chrono::milliseconds> since_stop;
  /** Time from the start of a planned stop to the end of the process. */
  std::chrono::milliseconds stop_grace{0};
};

/** The decision on one request. */
struct Admission {
  AdmissionRefusal refusal = AdmissionRefusal::kNone;
  const routing::Route* route = nullptr;  ///< Lives as long as the table.
  std::string organisation;  ///< Organisation of the caller; empty: none.
  int rank = 0;              ///< Priority class; 0 is served first.
  routing::Clock::time_point limit;  ///< When the final answer is due.
  /** Time at which a stream that has begun is aborted; not before `limit`. */
  routing::Clock::time_point stream_limit;
  /**
   * Time by which the answer must have begun; later the caller has disconnected
   * or this process has ended.
   */
  routing::Clock::time_point first_byte_limit;
};

/**
 * Decides on a request before anything is sent for it.
 * @param request the request. @param state state of this instance.
 * @param arrived time of arrival. @return the decision.
 */
Admission Admit(const CallerRequest& request, const AdmissionState& state,
                routing::Clock::time_point arrived);

/** @param refusal a refusal. @return true if, by the configuration, a retry
 * would be refused too; its answer has no Retry-After delay. */
bool IsFinal(AdmissionRefusal refusal);

/** @param refusal a refusal. @return true if it ends once the instance has read
 * the configuration and the list of upstreams. */
bool EndsWithStart(AdmissionRefusal refusal);

/**
 * Decides how long a request waits at an instance that has started and has not
 * read the configuration yet. Load: all instances of a fleet restart at once,
 * so that no other one can serve the caller, who has few retries left.
 * @param deadline time that the caller waits for the answer; nullopt: not
 *     stated.
 * @return the longest wait: a quarter of the caller's time, so that most of it
 *     is left for the request itself or a retry, and at most a second.
 */
std::chrono::milliseconds StartWaitLimit(
    std::optional<std::chrono::milliseconds> deadline);

/** The answer to a request that is not admitted. */
struct RefusalAnswer {
  int status = 0;        ///< HTTP status.
  std::string_view why;  ///< Outcome, for log and metrics.
  /** When the caller may retry; none: a retry would be refused too. */
  std::optional<RetryAfter> retry_after;
};

/** @param refusal a refusal, not kNone. @return its answer. */
RefusalAnswer AnswerTo(AdmissionRefusal refusal);

}  // namespace turmeric::entry
