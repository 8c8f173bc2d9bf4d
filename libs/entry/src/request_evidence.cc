#include "turmeric/entry/request_evidence.h"

#include <utility>

#include "turmeric/entry/entry_context.h"
#include "turmeric/entry/request_quarantine.h"
#include "turmeric/utils/decision_log.h"

namespace turmeric::entry {

using std::chrono::milliseconds;

namespace {

/** Time between the first events and later ones after which a prompt part is
 * not the cause of a crash: a harmful part ends the upstream as it begins to
 * write the answer. */
constexpr milliseconds kClearingRunTime{500};
constexpr int kFirstRedirect = 300;
constexpr int kServerError = 500;

}  // namespace

void RequestEvidence::SetRequest(quarantine::RequestTraits traits,
                                 std::string request_id) {
  traits_ = std::move(traits);
  request_id_ = std::move(request_id);
}

std::optional<milliseconds> RequestEvidence::RemainingQuarantine() const {
  const auto remaining =
      context_.quarantine->RemainingQuarantine(request(), is_trial_);
  if (!remaining) return std::nullopt;
  utils::DecisionLog("request_quarantined")
      .Add("request", request_id_)
      .Add("cause", context_.quarantine->CauseIn(request()))
      .Add("for_ms", remaining->count());
  return remaining;
}

void RequestEvidence::OnSend() {
  is_trial_ = context_.quarantine->BeginTrial(request(), request_id_);
  first_events_at_.reset();
  progressed_ = false;
}

void RequestEvidence::OnEvents(Clock::time_point now) {
  if (!first_events_at_) first_events_at_ = now;
  if (progressed_ || now - *first_events_at_ < kClearingRunTime) return;
  progressed_ = true;
  context_.quarantine->OnGoodRun({.fingerprint = {},
                                  .service = service_,
                                  .at = now,
                                  .parts = traits_.parts},
                                 request_id_);
}

void RequestEvidence::OnAnswered(int status, Clock::time_point now) const {
  // An upstream may answer an error without having read the prompt.
  if (status >= kServerError) return;
  quarantine::GoodRun run{.fingerprint = traits_.fingerprint,
                          .service = service_,
                          .at = now,
                          .parts = {}};
  if (status < kFirstRedirect) run.parts = traits_.parts;
  context_.quarantine->OnGoodRun(run, request_id_);
}

InterruptedRequest RequestEvidence::Interrupted() const {
  return {.traits = traits_, .progressed = progressed_};
}

}  // namespace turmeric::entry
