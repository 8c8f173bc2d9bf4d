#pragma once

#include <chrono>
#include <optional>
#include <string>
#include <string_view>

#include "turmeric/entry/retry_after.h"
#include "turmeric/routing/route_table.h"
#include "turmeric/routing/upstream.h"

namespace turmeric::entry {

struct CallerRequest;

/** Why a request is answered without being sent anywhere. */
enum class AdmissionRefusal {
  kNone,
  kNotReady,    ///< No configuration or list of upstreams was read yet.
  kStoreAway,   ///< The same, and the store does not answer.
  kNoRoute,     ///< No route of the host matches the path.
  kStopping,    ///< It would outlast this process.
  kUnknownKey,  ///< The route needs a key, and no organisation holds this one.
  /** No route or key, by a configuration that may be out of date. */
  kConfigUnsure,
};

/** What this instance knows when a request arrives. */
struct AdmissionState {
  const routing::RouteTable* table = nullptr;
  bool upstreams_known = false;
  bool store_away = false;  ///< Calls to the store fail.
  /** Time since a planned stop began; none: it has not. */
  std::optional<std::chrono::milliseconds> since_stop;
  std::chrono::milliseconds stop_grace{0};
};

/** The decision on one request. */
struct Admission {
  AdmissionRefusal refusal = AdmissionRefusal::kNone;
  const routing::Route* route = nullptr;  ///< Lives as long as the table.
  std::string organisation;               ///< Who calls; may be empty.
  int rank = 0;                           ///< Urgency class, 0 first.
  routing::Clock::time_point limit;       ///< Final answer due.
  /** A stream that has begun is broken off then; not before `limit`. */
  routing::Clock::time_point stream_limit;
  /** By then the answer must have begun, or the caller or this process has
   * gone. */
  routing::Clock::time_point first_byte_limit;
};

/**
 * Decides on a request before anything is sent for it.
 * @param request what arrived. @param state what is known.
 * @param arrived when. @return the decision.
 */
Admission Admit(const CallerRequest& request, const AdmissionState& state,
                routing::Clock::time_point arrived);

/** @param refusal a refusal. @return true if its answer tells the caller not to
 * come back, by the configuration. */
bool IsFinal(AdmissionRefusal refusal);

/** How a request is answered that is not admitted. */
struct RefusalAnswer {
  int status = 0;  ///< HTTP status.
  std::string_view why;
  /** When the caller should return; none: the request will never be taken. */
  std::optional<ComeBack> come_back;
};

/** @param refusal a refusal, not kNone. @return its answer. */
RefusalAnswer AnswerTo(AdmissionRefusal refusal);

}  // namespace turmeric::entry
