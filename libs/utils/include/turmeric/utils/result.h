#pragma once

#include <boost/outcome.hpp>
#include <cstdint>
#include <string>
#include <string_view>

namespace turmeric::utils {

/**
 * Numbered result codes. The table with meanings and caller advice is
 * docs/ERRORS.md; numbers never change once released.
 */
enum class Errc : int {
  kOk = 0,
  // 1xxx: the caller's request is malformed; nothing was run.
  kBadRequest = 1001,
  kUnknownPipeline = 1002,
  kUnknownOrganisation = 1003,
  kBadDeadline = 1004,
  kMissingIdempotencyKey = 1005,
  kIdempotencyKeyReused = 1006,
  // 2xxx: admission and deadlines.
  kOverloaded = 2001,
  kDeadlineTooShort = 2002,
  kDraining = 2003,
  kDeadlineExceeded = 2004,
  kCallerGone = 2005,
  kNotReady = 2006,
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

/** An error: a numbered code plus a human-readable detail. */
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
 * @param detail what went wrong, for the operator.
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
 * When a refused caller should come back: sent as `retry_after_ms` in the
 * body and, rounded up to whole seconds, as `Retry-After`.
 * @param code a result code.
 * @return milliseconds to wait (0: at once, to another instance), or -1 if
 *     resending the same request cannot help.
 */
int RetryAfterMs(Errc code);

/** What a caller is told about whether its request ran. */
enum class RunState {
  kRan,      ///< Every stage ran; the answer is whole.
  kNotRun,   ///< No upstream was called for this request; safe to resend.
  kFailed,   ///< Only idempotent stages ran; nothing with effects happened.
  kUnknown,  ///< A non-idempotent call may or may not have taken effect.
};

/**
 * @param state a run state.
 * @return "ran", "not_run", "failed" or "unknown".
 */
std::string_view RunStateName(RunState state);

}  // namespace turmeric::utils
