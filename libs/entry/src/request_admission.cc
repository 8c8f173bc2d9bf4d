#include "turmeric/entry/request_admission.h"

#include <algorithm>
#include <numeric>
#include <span>

#include "turmeric/entry/drain_policy.h"
#include "turmeric/entry/wire_format.h"

namespace turmeric::entry {

using routing::RequestKind;
using std::chrono::milliseconds;

namespace {

constexpr int kBadRequest = 400;
constexpr int kUnauthorized = 401;
constexpr int kNotFound = 404;
constexpr int kUnavailable = 503;

/** Time for an answer to reach the caller before its deadline. */
constexpr milliseconds kAnswerTransitTime{15};
/**
 * A caller that receives a stream disconnects by itself at its deadline. If the
 * disconnect is lost, the stream is aborted this long after the deadline: more
 * than a round trip with one lost packet, less than half a second of useless
 * work.
 */
constexpr milliseconds kDisconnectGrace{250};
/** A request waits for the first configuration of a started instance for one in
 * kStartWaitDivisor of its time, and for at most kMaxStartWait. */
constexpr int kStartWaitDivisor = 4;
constexpr milliseconds kMaxStartWait{1000};
/** Time that a caller is assumed to wait if it states none. */
constexpr milliseconds kAssumedDeadline{1000};
/** Rank of an organisation without a priority; 0 is served first. */
constexpr int kDefaultOrganisationRank = 1;
/** Number of route ranks within one rank of organisations. With three, the
 * organisations of default rank use the engine priorities 3 to 5 of 0 to 9. */
constexpr int kRouteRanks = 3;

bool AcceptsNow(const routing::Route& route, const AdmissionState& state) {
  if (!state.since_stop) return true;
  const bool is_long =
      route.kind == RequestKind::kStream || !route.stages.empty();
  return AcceptsWhileStopping(is_long, *state.since_stop, state.stop_grace);
}

/** @return number of pieces of the route's stages. */
int64_t PieceCount(const CallerRequest& request, const routing::Route& route) {
  const auto stages =
      std::span(request.stage_pieces)
          .first(std::min(request.stage_pieces.size(), route.stages.size()));
  return std::accumulate(
      stages.begin(), stages.end(), int64_t{0},
      [](int64_t sum, int pieces) { return sum + std::max(0, pieces); });
}

}  // namespace

Admission Admit(const CallerRequest& request, const AdmissionState& state,
                routing::Clock::time_point arrived) {
  Admission admission;
  if (state.table == nullptr || !state.upstreams_known) {
    admission.refusal = state.store_unreachable
                            ? AdmissionRefusal::kStoreUnreachable
                            : AdmissionRefusal::kNotReady;
    return admission;
  }
  const routing::RouteTable& table = *state.table;
  admission.route = table.Match(request.host, request.target);
  if (admission.route == nullptr) {
    admission.refusal = AdmissionRefusal::kNoRoute;
    return admission;
  }
  const routing::Route& route = *admission.route;
  int organisation_rank = kDefaultOrganisationRank;
  const auto holder = table.organisation_by_key.find(request.key);
  if (holder != table.organisation_by_key.end()) {
    admission.organisation = holder->second.name;
    organisation_rank =
        holder->second.priority.value_or(kDefaultOrganisationRank);
  } else if (table.has_organisations && !route.is_public) {
    admission.refusal = AdmissionRefusal::kUnknownKey;
    return admission;
  }
  if (PieceCount(request, route) > kMaxPieces) {
    admission.refusal = AdmissionRefusal::kTooManyPieces;
    return admission;
  }
  if (!AcceptsNow(route, state)) {
    admission.refusal = AdmissionRefusal::kStopping;
    return admission;
  }
  // The organisation's rank takes precedence over the route's.
  admission.rank = organisation_rank * kRouteRanks +
                   std::clamp(route.priority, 0, kRouteRanks - 1);
  admission.limit = arrived + route.timeout;
  admission.stream_limit = admission.limit;
  if (request.deadline) {
    const auto deadline = arrived + *request.deadline;
    admission.limit = std::min(admission.limit, deadline - kAnswerTransitTime);
    admission.stream_limit =
        std::min(admission.stream_limit, deadline + kDisconnectGrace);
  }
  admission.first_byte_limit = admission.limit;
  if (route.first_byte_timeout > milliseconds(0)) {
    admission.first_byte_limit =
        std::min(admission.limit,
                 arrived + route.first_byte_timeout - kAnswerTransitTime);
  }
  if (state.since_stop) {
    const auto stop_began = arrived - *state.since_stop;
    admission.first_byte_limit =
        std::min(admission.first_byte_limit,
                 ScheduleStop(stop_began, state.stop_grace).last_answers);
  }
  return admission;
}

bool IsFinal(AdmissionRefusal refusal) {
  return refusal == AdmissionRefusal::kNoRoute ||
         refusal == AdmissionRefusal::kUnknownKey;
}

bool EndsWithStart(AdmissionRefusal refusal) {
  return refusal == AdmissionRefusal::kNotReady ||
         refusal == AdmissionRefusal::kStoreUnreachable;
}

milliseconds StartWaitLimit(std::optional<milliseconds> deadline) {
  return std::clamp(deadline.value_or(kAssumedDeadline) / kStartWaitDivisor,
                    milliseconds(0), kMaxStartWait);
}

RefusalAnswer AnswerTo(AdmissionRefusal refusal) {
  switch (refusal) {
    case AdmissionRefusal::kNone:
      break;
    case AdmissionRefusal::kNotReady:
      return {kUnavailable, "not_ready", RetryAfter::kLater};
    case AdmissionRefusal::kStoreUnreachable:
      return {kUnavailable, "store_away", RetryAfter::kAfterStoreOutage};
    case AdmissionRefusal::kNoRoute:
      return {kNotFound, "no_route", std::nullopt};
    case AdmissionRefusal::kStopping:
      return {kUnavailable, "stopping", RetryAfter::kImmediately};
    case AdmissionRefusal::kUnknownKey:
      return {kUnauthorized, "unknown_key", std::nullopt};
    case AdmissionRefusal::kTooManyPieces:
      return {kBadRequest, "too_many_pieces", std::nullopt};
    case AdmissionRefusal::kConfigUnconfirmed:
      return {kUnavailable, "config_unsure", RetryAfter::kLater};
  }
  return {kUnavailable, "refused", RetryAfter::kLater};
}

}  // namespace turmeric::entry
