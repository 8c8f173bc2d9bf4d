#pragma once

#include <boost/outcome.hpp>
#include <cstdint>
#include <string>
#include <string_view>

namespace turmeric::utils {

/**
 * Numbered result codes. docs/ERRORS.md lists what each code means and what the
 * caller should do. A released number never changes its meaning.
 */
enum class Errc : int {
  kOk = 0,
  // 1xxx: the request is malformed; no stage has run.
  kBadRequest = 1001,
  kUnknownPipeline = 1002,
  kUnknownOrganisation = 1003,
  kBadDeadline = 1004,
  kMissingIdempotencyKey = 1005,
  kIdempotencyKeyReused = 1006,
  // 2xxx: admission control and deadlines.
  kOverloaded = 2001,
  kDeadlineTooShort = 2002,
  kDraining = 2003,
  kDeadlineExceeded = 2004,
  kCallerGone = 2005,
  kNotReady = 2006,
  kNoMemory = 2007,
  // 3xxx: upstreams.
  kUpstreamFailed = 3001,
  kNoUpstream = 3002,
  kUpstreamTimeout = 3003,
  kMisdelivered = 3004,
  // 4xxx: at-most-once claims.
  kDuplicateInFlight = 4001,
  kOutcomeUnknown = 4002,
  // 5xxx: the platform's object API.
  kStoreUnavailable = 5001,
  kStoreConflict = 5002,
  kStoreNotFound = 5003,
  kStoreAnswerLost = 5004,
  kStoreRevisionGone = 5005,
  kStoreEraInvalid = 5006,
  // 6xxx: settings.
  kConfigInvalid = 6001,
  kConfigUnknownKey = 6002,
  kConfigVersionConflict = 6003,
  kIniMissing = 6004,
  kIniInvalid = 6005,
};

/** An error: a numbered code and a human-readable detail. */
struct Error {
  Errc code = Errc::kOk;
  std::string detail;
};

/** Result of an operation that may fail with a numbered Error. */
template <class T>
using Result =
    boost::outcome_v2::result<T, Error, boost::outcome_v2::policy::terminate>;

/**
 * Builds a failed result.
 * @param code the numbered code.
 * @param detail description of the failure for the operator.
 * @return a failure convertible to any Result<T>.
 */
inline auto Fail(Errc code, std::string detail) {
  return boost::outcome_v2::failure(Error{code, std::move(detail)});
}

/**
 * @param code a result code.
 * @return its stable snake_case name, e.g. "store_unavailable".
 */
std::string_view ErrcName(Errc code);

/**
 * @param code a result code.
 * @return the HTTP status that callers see for it.
 */
int HttpStatus(Errc code);

/**
 * Returns the Retry-After delay for a refused request. It is sent as
 * `retry_after_ms` in the response body and, rounded up to whole seconds, in
 * the `Retry-After` header.
 * @param code a result code.
 * @return delay in milliseconds (0: retry at once at another instance), or -1
 *     if a retry of the same request cannot succeed.
 */
int RetryAfterMs(Errc code);

/** Execution state of a request, as reported to its caller. */
enum class RunState {
  kRan,      ///< Every stage ran; the answer is complete.
  kNotRun,   ///< No upstream was called for this request; safe to retry.
  kFailed,   ///< Only idempotent stages ran; there were no side effects.
  kUnknown,  ///< A non-idempotent call may or may not have taken effect.
};

/**
 * @param state a run state.
 * @return "ran", "not_run", "failed" or "unknown".
 */
std::string_view RunStateName(RunState state);

}  // namespace turmeric::utils
