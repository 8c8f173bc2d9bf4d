#include "turmeric/entry/request_quarantine.h"

#include <algorithm>
#include <iterator>
#include <utility>

#include "turmeric/entry/entry_context.h"
#include "turmeric/entry/entry_metrics.h"
#include "turmeric/entry/instance_links.h"
#include "turmeric/entry/quarantine_archive.h"
#include "turmeric/entry/reach_monitor.h"
#include "turmeric/peer/frame.h"
#include "turmeric/utils/decision_log.h"

namespace turmeric::entry {

using quarantine::Crash;
using quarantine::GoodRun;
using std::chrono::milliseconds;

namespace {

/** Interval at which expired crashes are dropped. */
constexpr milliseconds kExpireInterval{30000};
/** Sources of crashes in log lines, besides names of instances. */
constexpr std::string_view kSourceThisInstance = "own";
constexpr std::string_view kSourceStore = "store";
/** Minimum number of crashes of a request for its crashes to be sent to an
 * instance that starts. Most requests with a single crash only ran on an
 * upstream that ended for another reason. */
constexpr size_t kMinCrashes = 2;

}  // namespace

RequestQuarantine::RequestQuarantine(EntryContext& context,
                                     InstanceLinks& links)
    : context_(context), links_(links) {
  expire_timer_.setInterval(kExpireInterval);
  connect(&expire_timer_, &QTimer::timeout, this, [this] {
    ledger_.Expire(Clock::now());
    UpdateMetric();
  });
  expire_timer_.start();
}

RequestQuarantine::~RequestQuarantine() = default;

void RequestQuarantine::Start(store::ObjectSource& source, std::string kind) {
  if (!context_.Uses(config::Mechanism::kQuarantine)) return;
  archive_ = std::make_unique<QuarantineArchive>(
      source, std::move(kind), [this](std::span<const Crash> crashes) {
        for (const Crash& crash : crashes) Record(crash, kSourceStore);
      });
  archive_->Read();
}

void RequestQuarantine::OnExchangesBroken(
    const routing::UpstreamPtr& upstream,
    std::vector<InterruptedRequest> requests, std::function<void()> done) {
  probe_.Probe(upstream, [this, upstream, requests = std::move(requests),
                          done = std::move(done),
                          at = Clock::now()](bool refused) mutable {
    if (!refused) {
      if (done) done();
      return;
    }
    context_.reach->ConfirmEnd(upstream,
                               [this, upstream, requests = std::move(requests),
                                done = std::move(done), at](bool has_ended) {
                                 if (has_ended) {
                                   RecordCrashes(upstream->entry, requests, at);
                                 }
                                 if (done) done();
                               });
  });
}

void RequestQuarantine::RecordCrashes(
    const routing::UpstreamEntry& upstream,
    std::span<const InterruptedRequest> requests, Clock::time_point at) {
  const std::string process_start = ProcessStartId(upstream);
  std::vector<Crash> crashes_to_send;
  for (const InterruptedRequest& request : requests) {
    const Crash crash{.fingerprint = request.fingerprint,
                      .service = upstream.service,
                      .upstream = process_start,
                      .at = at,
                      .progressed = request.progressed};
    if (!Record(crash, kSourceThisInstance)) continue;
    // Send all crashes of the request, as other instances may lack some of
    // them.
    std::ranges::move(ledger_.CrashesOf(request.fingerprint),
                      std::back_inserter(crashes_to_send));
    if (archive_ && RemainingQuarantine(request.fingerprint)) {
      archive_->Write(request.fingerprint,
                      ledger_.CrashesOf(request.fingerprint));
    }
  }
  if (crashes_to_send.empty()) return;
  SendToPeers(crashes_to_send);
  if (archive_) archive_->ReadRateLimited();
}

bool RequestQuarantine::Record(const Crash& crash, std::string_view source) {
  // A request without a fingerprint cannot be distinguished from others.
  if (crash.fingerprint.empty()) return false;
  const bool was_quarantined =
      RemainingQuarantine(crash.fingerprint).has_value();
  if (!ledger_.Record(crash)) return false;
  utils::DecisionLog("upstream_crashed")
      .Add("work", crash.fingerprint)
      .Add("service", crash.service)
      .Add("upstream", crash.upstream)
      .Add("progressed", crash.progressed)
      .Add("crashes", ledger_.crash_count(crash.fingerprint))
      .Add("source", source);
  const auto remaining = RemainingQuarantine(crash.fingerprint);
  if (remaining && !was_quarantined) {
    utils::DecisionLog("work_quarantined")
        .Add("work", crash.fingerprint)
        .Add("crashes", ledger_.crash_count(crash.fingerprint))
        .Add("for_ms", remaining->count())
        .Add("source", source);
    UpdateMetric();
  }
  return true;
}

void RequestQuarantine::SendToPeers(const std::vector<Crash>& crashes) {
  links_.Broadcast([&](peer::Frame& frame) {
    std::ranges::copy(crashes, std::back_inserter(frame.crashes));
  });
}

void RequestQuarantine::OnGoodRun(const std::string& fingerprint,
                                  const std::string& service) {
  const bool was_quarantined = RemainingQuarantine(fingerprint).has_value();
  const GoodRun run{
      .fingerprint = fingerprint, .service = service, .at = Clock::now()};
  if (!ledger_.Record(run)) return;
  utils::DecisionLog("work_acquitted")
      .Add("work", fingerprint)
      .Add("service", service);
  links_.Broadcast([&](peer::Frame& frame) { frame.good_runs.push_back(run); });
  if (was_quarantined && archive_) {
    archive_->Write(fingerprint, ledger_.CrashesOf(fingerprint));
  }
  UpdateMetric();
}

std::optional<milliseconds> RequestQuarantine::RemainingQuarantine(
    std::string_view fingerprint) const {
  if (!context_.Uses(config::Mechanism::kQuarantine)) return std::nullopt;
  return ledger_.RemainingQuarantine(fingerprint, Clock::now());
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
  for (const GoodRun& run : frame.good_runs) ledger_.Record(run);
}

void RequestQuarantine::OnNewEra() {
  if (archive_) archive_->RewriteRecent();
}

void RequestQuarantine::AddKnownCrashes(peer::Frame& frame) const {
  for (const Crash& crash : ledger_.AllCrashes()) {
    if (ledger_.CrashesOf(crash.fingerprint).size() < kMinCrashes) continue;
    frame.crashes.push_back(crash);
  }
}

void RequestQuarantine::UpdateMetric() const {
  context_.metrics->SetQuarantined(ledger_.quarantined_count(Clock::now()));
}

}  // namespace turmeric::entry
