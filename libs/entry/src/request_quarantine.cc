#include "turmeric/entry/request_quarantine.h"

#include <algorithm>
#include <iterator>
#include <random>
#include <tuple>
#include <utility>

#include "turmeric/entry/entry_context.h"
#include "turmeric/entry/entry_metrics.h"
#include "turmeric/entry/instance_links.h"
#include "turmeric/entry/quarantine_archive.h"
#include "turmeric/entry/reach_monitor.h"
#include "turmeric/peer/frame.h"
#include "turmeric/quarantine/stored_crashes.h"
#include "turmeric/utils/decision_log.h"

namespace turmeric::entry {

using quarantine::Crash;
using quarantine::GoodRun;
using quarantine::RequestTraits;
using quarantine::ServiceRequest;
using quarantine::Trial;
using std::chrono::milliseconds;

namespace {

/** Interval at which expired crashes are dropped. */
constexpr milliseconds kExpireInterval{30000};
/** Interval at which an instance that reaches few others reads the store. */
constexpr milliseconds kIsolatedReadInterval{2000};
/** Sources of crashes in log lines, besides names of instances. */
constexpr std::string_view kSourceThisInstance = "own";
constexpr std::string_view kSourceStore = "store";
/** Crashes that an instance stores while it reaches few others. */
constexpr size_t kMaxOwnCrashes = 16;
constexpr std::string_view kOwnCrashesPrefix = "recent-";
/** Largest delay per instance of the fleet, and in all, until a cleared trait
 * is sent to the others: popular parts are cleared by all instances at once,
 * and one that hears of it in time sends nothing. */
constexpr milliseconds kClearedDelayPerInstance{2};
constexpr milliseconds kMaxClearedDelay{500};

RequestTraits TraitsOf(const Crash& crash) {
  return {.fingerprint = crash.fingerprint, .parts = crash.parts};
}

milliseconds RandomDelay(milliseconds max) {
  static std::minstd_rand engine{std::random_device{}()};
  return milliseconds(
      std::uniform_int_distribution<int64_t>(0, max.count())(engine));
}

}  // namespace

RequestQuarantine::RequestQuarantine(EntryContext& context,
                                     InstanceLinks& links)
    : context_(context), links_(links) {
  expire_timer_.setInterval(kExpireInterval);
  connect(&expire_timer_, &QTimer::timeout, this, [this] {
    const auto now = Clock::now();
    ledger_.Expire(now);
    std::erase_if(quarantined_until_,
                  [now](const auto& entry) { return entry.second <= now; });
    UpdateMetric();
  });
  expire_timer_.start();
  cleared_timer_.setSingleShot(true);
  connect(&cleared_timer_, &QTimer::timeout, this, [this] { SendCleared(); });
  isolation_timer_.setInterval(kIsolatedReadInterval);
  connect(&isolation_timer_, &QTimer::timeout, this, [this] {
    if (links_.has_others() && links_.IsIsolated()) {
      archive_->ReadRateLimited();
    }
  });
}

RequestQuarantine::~RequestQuarantine() = default;

void RequestQuarantine::Start(store::ObjectSource& source, std::string kind) {
  if (!context_.Uses(config::Mechanism::kQuarantine)) return;
  archive_ = std::make_unique<QuarantineArchive>(
      source, std::move(kind),
      [this](std::span<const Crash> crashes) { OnStored(crashes); });
  archive_->Start();
  isolation_timer_.start();
}

void RequestQuarantine::OnStored(std::span<const Crash> crashes) {
  for (const Crash& crash : crashes) Record(crash, kSourceStore);
  // Objects of expired quarantines stay in the store.
  ledger_.Expire(Clock::now());
}

void RequestQuarantine::OnExchangesBroken(
    const routing::UpstreamPtr& upstream,
    std::vector<InterruptedRequest> requests,
    std::function<void(ProcessState)> done) {
  probe_.Probe(upstream, [this, upstream, requests = std::move(requests),
                          done = std::move(done),
                          at = Clock::now()](ProbeResult result) mutable {
    if (result != ProbeResult::kRefused) {
      const bool runs = result == ProbeResult::kConnected;
      if (done) done(runs ? ProcessState::kRuns : ProcessState::kUnknown);
      return;
    }
    context_.reach->FindProcessState(
        upstream, [this, upstream, requests = std::move(requests),
                   done = std::move(done), at](ProcessState state) {
          // An upstream that leaves ends by itself.
          if (state == ProcessState::kEnded && !IsLeaving(*upstream)) {
            RecordCrashes(upstream->entry, requests, at);
          }
          if (done) done(state);
        });
  });
}

void RequestQuarantine::RecordCrashes(
    const routing::UpstreamEntry& upstream,
    std::span<const InterruptedRequest> requests, Clock::time_point at) {
  const std::string process_start = ProcessStartId(upstream);
  std::vector<Crash> crashes_to_send;
  for (const InterruptedRequest& interrupted : requests) {
    const RequestTraits& traits = interrupted.traits;
    const Crash crash{.fingerprint = traits.fingerprint,
                      .service = upstream.service,
                      .upstream = process_start,
                      .at = at,
                      .progressed = interrupted.progressed,
                      .parts = interrupted.progressed
                                   ? std::vector<std::string>()
                                   : traits.parts};
    if (!Record(crash, kSourceThisInstance)) continue;
    own_crashes_.push_back(crash);
    if (own_crashes_.size() > kMaxOwnCrashes) own_crashes_.pop_front();
    // Send all crashes under the request's most suspicious trait, as other
    // instances may lack some of them.
    crashes_to_send.push_back(crash);
    const ServiceRequest request{.traits = traits, .service = upstream.service};
    std::ranges::move(ledger_.CrashesUnder(request),
                      std::back_inserter(crashes_to_send));
    if (RemainingQuarantine(request, true)) Store(request);
  }
  if (crashes_to_send.empty()) return;
  const auto key = [](const Crash& crash) {
    return std::tie(crash.upstream, crash.fingerprint);
  };
  std::ranges::sort(crashes_to_send, {}, key);
  const auto repeated = std::unique(
      crashes_to_send.begin(), crashes_to_send.end(),
      [&](const Crash& a, const Crash& b) { return key(a) == key(b); });
  crashes_to_send.erase(repeated, crashes_to_send.end());
  SendToPeers(crashes_to_send);
  if (!archive_) return;
  if (links_.IsIsolated()) StoreOwnCrashes();
  archive_->ReadRateLimited();
}

void RequestQuarantine::Store(const ServiceRequest& request) {
  if (!archive_) return;
  archive_->Write(quarantine::StoredName(ledger_.CauseIn(request)),
                  ledger_.CrashesUnder(request));
}

void RequestQuarantine::StoreOwnCrashes() {
  archive_->Write(std::string(kOwnCrashesPrefix) + context_.settings.name,
                  {own_crashes_.begin(), own_crashes_.end()});
}

bool RequestQuarantine::Record(const Crash& crash, std::string_view source) {
  // A request without a fingerprint cannot be distinguished from others.
  if (crash.fingerprint.empty()) return false;
  const RequestTraits traits = TraitsOf(crash);
  const ServiceRequest request{.traits = traits, .service = crash.service};
  if (!ledger_.Record(crash)) return false;
  const std::string cause = ledger_.CauseIn(request);
  utils::DecisionLog("upstream_crashed")
      .Add("work", crash.fingerprint)
      .Add("parts", quarantine::JoinParts(crash.parts))
      .Add("service", crash.service)
      .Add("upstream", crash.upstream)
      .Add("progressed", crash.progressed)
      .Add("most", cause)
      .Add("crashes", ledger_.crash_count(cause))
      .Add("source", source);
  const auto remaining = RemainingQuarantine(request, true);
  if (!remaining) return true;
  const auto now = Clock::now();
  auto& quarantined_until = quarantined_until_[cause];
  const bool is_logged = quarantined_until > now;
  quarantined_until = now + *remaining;
  if (is_logged) return true;
  utils::DecisionLog("work_quarantined")
      .Add("cause", cause)
      .Add("work", crash.fingerprint)
      .Add("parts", quarantine::JoinParts(crash.parts))
      .Add("crashes", ledger_.crash_count(cause))
      .Add("for_ms", remaining->count())
      .Add("source", source);
  UpdateMetric();
  // No instance may have seen enough crashes itself to store them.
  const bool is_own = source == kSourceThisInstance;
  if (!is_own && source != kSourceStore && !links_.OwnerOf(cause)) {
    Store(request);
  }
  return true;
}

void RequestQuarantine::SendToPeers(const std::vector<Crash>& crashes) {
  links_.Broadcast([&](peer::Frame& frame) {
    std::ranges::copy(crashes, std::back_inserter(frame.crashes));
  });
}

void RequestQuarantine::OnGoodRun(const GoodRun& run,
                                  std::string_view request_id) {
  if (ledger_.size() == 0) return;
  const RequestTraits traits{.fingerprint = run.fingerprint,
                             .parts = run.parts};
  const ServiceRequest request{.traits = traits, .service = run.service};
  const bool was_quarantined = RemainingQuarantine(request, false).has_value();
  const std::string cause =
      was_quarantined ? ledger_.CauseIn(request) : std::string();
  const std::vector<std::string> cleared = ledger_.Record(run);
  if (cleared.empty()) return;
  utils::DecisionLog("work_acquitted")
      .Add("request", request_id)
      .Add("cleared", quarantine::JoinParts(cleared))
      .Add("service", run.service);
  for (const std::string& trait : cleared) {
    unsent_cleared_[{run.service, trait}] = run.at;
  }
  ScheduleCleared();
  ForgetQuarantines(cleared);
  if (was_quarantined && archive_) {
    archive_->Write(quarantine::StoredName(cause),
                    ledger_.CrashesUnder(request));
  }
}

void RequestQuarantine::ForgetQuarantines(
    std::span<const std::string> cleared) {
  for (const std::string& trait : cleared) quarantined_until_.erase(trait);
  UpdateMetric();
}

void RequestQuarantine::ScheduleCleared() {
  if (cleared_timer_.isActive()) return;
  const auto max = kClearedDelayPerInstance *
                   std::max(0, context_.retries.listed_instances());
  cleared_timer_.start(RandomDelay(std::min(max, kMaxClearedDelay)));
}

void RequestQuarantine::SendCleared() {
  if (unsent_cleared_.empty()) return;
  std::vector<GoodRun> runs;
  for (const auto& [cleared, at] : std::exchange(unsent_cleared_, {})) {
    const auto& [service, trait] = cleared;
    const bool is_part = quarantine::IsPartKey(trait);
    runs.push_back(
        {.fingerprint = is_part ? std::string() : trait,
         .service = service,
         .at = at,
         .parts = is_part ? std::vector{trait} : std::vector<std::string>()});
  }
  links_.Broadcast([&](peer::Frame& frame) {
    std::ranges::copy(runs, std::back_inserter(frame.good_runs));
  });
}

std::optional<milliseconds> RequestQuarantine::RemainingQuarantine(
    const ServiceRequest& request, bool is_trial) const {
  if (!context_.Uses(config::Mechanism::kQuarantine)) return std::nullopt;
  const auto now = Clock::now();
  const auto remaining = ledger_.RemainingQuarantine(request, now);
  if (remaining || is_trial) return remaining;
  return ledger_.RemainingTrial(request, now);
}

std::optional<milliseconds> RequestQuarantine::RemainingQuarantine(
    std::string_view fingerprint) const {
  if (!context_.Uses(config::Mechanism::kQuarantine)) return std::nullopt;
  return ledger_.RemainingQuarantine(fingerprint, Clock::now());
}

bool RequestQuarantine::BeginTrial(const ServiceRequest& request,
                                   std::string_view request_id) {
  if (!context_.Uses(config::Mechanism::kQuarantine)) return false;
  const auto now = Clock::now();
  const auto trait = ledger_.TrialOf(request, now);
  if (!trait) return false;
  const Trial trial{.trait = *trait, .at = now};
  ledger_.Record(trial);
  utils::DecisionLog("quarantine_trial")
      .Add("request", request_id)
      .Add("cause", trial.trait);
  links_.Broadcast([&](peer::Frame& frame) { frame.trials.push_back(trial); });
  return true;
}

std::string RequestQuarantine::CauseIn(const ServiceRequest& request) const {
  return ledger_.CauseIn(request);
}

bool RequestQuarantine::IsSuspect(std::string_view fingerprint) const {
  return context_.Uses(config::Mechanism::kQuarantine) &&
         ledger_.IsSuspect(fingerprint);
}

int RequestQuarantine::crash_count(std::string_view fingerprint) const {
  if (!context_.Uses(config::Mechanism::kQuarantine)) return 0;
  return ledger_.crash_count(fingerprint);
}

void RequestQuarantine::OnFrame(const std::string& source,
                                const peer::Frame& frame) {
  for (const Crash& crash : frame.crashes) Record(crash, source);
  for (const GoodRun& run : frame.good_runs) {
    ForgetQuarantines(ledger_.Record(run));
    const auto is_told = [&](const auto& unsent) {
      const auto& [service, trait] = unsent.first;
      const bool has_trait =
          run.fingerprint == trait ||
          std::ranges::find(run.parts, trait) != run.parts.end();
      return service == run.service && has_trait &&
             run.at >= ledger_.last_crash_at(trait);
    };
    std::erase_if(unsent_cleared_, is_told);
  }
  for (const Trial& trial : frame.trials) ledger_.Record(trial);
}

void RequestQuarantine::OnNewEra() {
  if (archive_) archive_->RewriteRecent();
}

void RequestQuarantine::AddKnownCrashes(peer::Frame& frame) const {
  std::ranges::move(ledger_.RecurringCrashes(),
                    std::back_inserter(frame.crashes));
}

void RequestQuarantine::UpdateMetric() const {
  const auto now = Clock::now();
  context_.metrics->SetQuarantined(static_cast<size_t>(std::ranges::count_if(
      quarantined_until_,
      [now](const auto& entry) { return entry.second > now; })));
}

}  // namespace turmeric::entry
