#include "turmeric/entry/request_admission.h"

#include <algorithm>

#include "turmeric/entry/drain_policy.h"
#include "turmeric/entry/wire_format.h"

namespace turmeric::entry {

using routing::RequestKind;
using std::chrono::milliseconds;

namespace {

constexpr int kUnauthorized = 401;
constexpr int kNotFound = 404;
constexpr int kUnavailable = 503;

/** An answer given so long before the caller's deadline still reaches it. */
constexpr milliseconds kAnswerMargin{15};
/** A caller that gets a stream leaves by itself at its deadline; one whose end
 * of the connection is lost is let go after this. Above two ways to it and a
 * lost packet, below half a second of work for nobody. */
constexpr milliseconds kCallerLeaves{250};
/** Rank of an organisation that states none; 0 is first. */
constexpr int kUsualOrganisation = 1;
/** Ranks of routes told apart within one rank of organisations. With three,
 * the usual organisations fill ranks 3 to 5 of an engine's 0 to 9. */
constexpr int kRouteRanks = 3;

bool TakesNow(const routing::Route& route, const AdmissionState& state) {
  if (!state.since_stop) return true;
  const bool is_long =
      route.kind == RequestKind::kStream || !route.stages.empty();
  return AcceptsWhileStopping(is_long, *state.since_stop, state.stop_grace);
}

}  // namespace

Admission Admit(const CallerRequest& request, const AdmissionState& state,
                routing::Clock::time_point arrived) {
  Admission admission;
  if (state.table == nullptr || !state.upstreams_known) {
    admission.refusal = state.store_away ? AdmissionRefusal::kStoreAway
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
  int organisation_rank = kUsualOrganisation;
  const auto holder = table.organisation_by_key.find(request.key);
  if (holder != table.organisation_by_key.end()) {
    admission.organisation = holder->second.name;
    organisation_rank = holder->second.priority.value_or(kUsualOrganisation);
  } else if (table.has_organisations && !route.is_public) {
    admission.refusal = AdmissionRefusal::kUnknownKey;
    return admission;
  }
  if (!TakesNow(route, state)) {
    admission.refusal = AdmissionRefusal::kStopping;
    return admission;
  }
  // The organisation's rank goes first, the route's second.
  admission.rank = organisation_rank * kRouteRanks +
                   std::clamp(route.priority, 0, kRouteRanks - 1);
  admission.limit = arrived + route.timeout;
  admission.stream_limit = admission.limit;
  if (request.deadline) {
    const auto deadline = arrived + *request.deadline;
    admission.limit = std::min(admission.limit, deadline - kAnswerMargin);
    admission.stream_limit =
        std::min(admission.stream_limit, deadline + kCallerLeaves);
  }
  admission.first_byte_limit = admission.limit;
  if (route.first_byte_timeout > milliseconds(0)) {
    admission.first_byte_limit = std::min(
        admission.limit, arrived + route.first_byte_timeout - kAnswerMargin);
  }
  if (state.since_stop) {
    const auto began = arrived - *state.since_stop;
    admission.first_byte_limit =
        std::min(admission.first_byte_limit,
                 ScheduleStop(began, state.stop_grace).last_answers);
  }
  return admission;
}

bool IsFinal(AdmissionRefusal refusal) {
  return refusal == AdmissionRefusal::kNoRoute ||
         refusal == AdmissionRefusal::kUnknownKey;
}

RefusalAnswer AnswerTo(AdmissionRefusal refusal) {
  switch (refusal) {
    case AdmissionRefusal::kNone:
      break;
    case AdmissionRefusal::kNotReady:
      return {kUnavailable, "not_ready", ComeBack::kLater};
    case AdmissionRefusal::kStoreAway:
      return {kUnavailable, "store_away", ComeBack::kAfterOutage};
    case AdmissionRefusal::kNoRoute:
      return {kNotFound, "no_route", std::nullopt};
    case AdmissionRefusal::kStopping:
      return {kUnavailable, "stopping", ComeBack::kAtOnce};
    case AdmissionRefusal::kUnknownKey:
      return {kUnauthorized, "unknown_key", std::nullopt};
    case AdmissionRefusal::kConfigUnsure:
      return {kUnavailable, "config_unsure", ComeBack::kLater};
  }
  return {kUnavailable, "refused", ComeBack::kLater};
}

}  // namespace turmeric::entry
