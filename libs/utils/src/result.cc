#include "turmeric/utils/result.h"

namespace turmeric::utils {

std::string_view ErrcName(Errc code) {
  switch (code) {
    case Errc::kOk:
      return "ok";
    case Errc::kBadRequest:
      return "bad_request";
    case Errc::kUnknownPipeline:
      return "unknown_pipeline";
    case Errc::kUnknownOrganisation:
      return "unknown_organisation";
    case Errc::kBadDeadline:
      return "bad_deadline";
    case Errc::kMissingIdempotencyKey:
      return "missing_idempotency_key";
    case Errc::kIdempotencyKeyReused:
      return "idempotency_key_reused";
    case Errc::kOverloaded:
      return "overloaded";
    case Errc::kDeadlineTooShort:
      return "deadline_too_short";
    case Errc::kDraining:
      return "draining";
    case Errc::kDeadlineExceeded:
      return "deadline_exceeded";
    case Errc::kCallerGone:
      return "caller_gone";
    case Errc::kNotReady:
      return "not_ready";
    case Errc::kNoMemory:
      return "no_memory";
    case Errc::kUpstreamFailed:
      return "upstream_failed";
    case Errc::kNoUpstream:
      return "no_upstream";
    case Errc::kUpstreamTimeout:
      return "upstream_timeout";
    case Errc::kMisdelivered:
      return "misdelivered";
    case Errc::kDuplicateInFlight:
      return "duplicate_in_flight";
    case Errc::kOutcomeUnknown:
      return "outcome_unknown";
    case Errc::kStoreUnavailable:
      return "store_unavailable";
    case Errc::kStoreConflict:
      return "store_conflict";
    case Errc::kStoreNotFound:
      return "store_not_found";
    case Errc::kStoreAnswerLost:
      return "store_answer_lost";
    case Errc::kStoreRevisionGone:
      return "store_revision_gone";
    case Errc::kStoreEraInvalid:
      return "store_era_invalid";
    case Errc::kConfigInvalid:
      return "config_invalid";
    case Errc::kConfigUnknownKey:
      return "config_unknown_key";
    case Errc::kConfigVersionConflict:
      return "config_version_conflict";
    case Errc::kIniMissing:
      return "ini_missing";
    case Errc::kIniInvalid:
      return "ini_invalid";
  }
  return "unnamed";
}

int HttpStatus(Errc code) {
  const int family = static_cast<int>(code) / 1000;
  switch (code) {
    case Errc::kOk:
      return 200;
    case Errc::kUnknownPipeline:
    case Errc::kUnknownOrganisation:
    case Errc::kStoreNotFound:
      return 404;
    case Errc::kDuplicateInFlight:
    case Errc::kStoreConflict:
    case Errc::kConfigVersionConflict:
      return 409;
    case Errc::kOverloaded:
      return 429;
    case Errc::kDeadlineExceeded:
    case Errc::kUpstreamTimeout:
      return 504;
    case Errc::kOutcomeUnknown:
      return 502;
    case Errc::kCallerGone:
      return 499;
    case Errc::kIdempotencyKeyReused:
      return 422;
    default:
      break;
  }
  if (family == 1 || family == 6) return 400;
  if (family == 3) return 502;
  return 503;
}

int RetryAfterMs(Errc code) {
  switch (code) {
    case Errc::kDraining:
      return 0;  // another instance can accept the request now
    case Errc::kOverloaded:
      return 50;
    case Errc::kStoreUnavailable:
    case Errc::kDuplicateInFlight:
      return 250;
    case Errc::kNotReady:
    case Errc::kNoMemory:
    case Errc::kNoUpstream:
      return 500;
    default:
      return -1;
  }
}

std::string_view RunStateName(RunState state) {
  switch (state) {
    case RunState::kRan:
      return "ran";
    case RunState::kNotRun:
      return "not_run";
    case RunState::kFailed:
      return "failed";
    case RunState::kUnknown:
      return "unknown";
  }
  return "unknown";
}

}  // namespace turmeric::utils
