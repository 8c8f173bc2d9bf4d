#include "turmeric/entry/request_quarantine.h"

#include <algorithm>
#include <iterator>
#include <utility>

#include "turmeric/entry/entry_context.h"
#include "turmeric/entry/entry_metrics.h"
#include "turmeric/entry/instance_links.h"
#include "turmeric/entry/quarantine_archive.h"
#include "turmeric/peer/frame.h"
#include "turmeric/utils/decision_log.h"

namespace turmeric::entry {

using quarantine::Crash;
using quarantine::GoodRun;
using std::chrono::milliseconds;

namespace {

/** How often old crashes are forgotten. */
constexpr milliseconds kExpireInterval{30000};
/** Where a crash came from, in logs. */
constexpr std::string_view kSeenHere = "own";
constexpr std::string_view kFromStore = "store";
/** An instance that starts is told of works with so many crashes. Most of those
 * with one only ran on an upstream that ended for another reason. */
constexpr size_t kWorthTelling = 2;

}  // namespace

WorkQuarantine::WorkQuarantine(EntryContext& context, InstanceLinks& links)
    : context_(context), links_(links) {
  expire_.setInterval(kExpireInterval);
  connect(&expire_, &QTimer::timeout, this, [this] {
    ledger_.Expire(Clock::now());
    SetMetric();
  });
  expire_.start();
}

WorkQuarantine::~WorkQuarantine() = default;

void WorkQuarantine::Start(store::ObjectSource& source, std::string kind) {
  if (!context_.Uses(config::Mechanism::kQuarantine)) return;
  archive_ = std::make_unique<QuarantineArchive>(
      source, std::move(kind), [this](std::span<const Crash> crashes) {
        for (const Crash& crash : crashes) Note(crash, kFromStore);
      });
  archive_->Read();
}

void WorkQuarantine::OnBrokenOff(const routing::UpstreamPtr& upstream,
                                 std::vector<BrokenRequest> requests,
                                 std::function<void()> done) {
  probe_.Probe(upstream,
               [this, upstream, requests = std::move(requests),
                done = std::move(done), at = Clock::now()](bool has_ended) {
                 if (has_ended) NoteCrashes(upstream->entry, requests, at);
                 if (done) done();
               });
}

void WorkQuarantine::NoteCrashes(const routing::UpstreamEntry& upstream,
                                 std::span<const BrokenRequest> requests,
                                 Clock::time_point at) {
  const std::string start = ProcessStartId(upstream);
  std::vector<Crash> news;
  for (const BrokenRequest& request : requests) {
    const Crash crash{.work = request.work,
                      .service = upstream.service,
                      .upstream = start,
                      .at = at,
                      .progressed = request.progressed};
    if (!Note(crash, kSeenHere)) continue;
    // All that is known of the work: the others may have missed a part.
    std::ranges::move(ledger_.CrashesUnder(request.work),
                      std::back_inserter(news));
    if (archive_ && QuarantinedFor(request.work)) {
      archive_->Write(request.work, ledger_.CrashesUnder(request.work));
    }
  }
  if (news.empty()) return;
  TellOthers(news);
  if (archive_) archive_->ReadSoon();
}

bool WorkQuarantine::Note(const Crash& crash, std::string_view source) {
  // A request without content to go by cannot be told from others.
  if (crash.work.empty()) return false;
  const bool before = QuarantinedFor(crash.work).has_value();
  if (!ledger_.Note(crash)) return false;
  utils::DecisionLog("upstream_crashed")
      .Add("work", crash.work)
      .Add("service", crash.service)
      .Add("upstream", crash.upstream)
      .Add("progressed", crash.progressed)
      .Add("crashes", ledger_.crashes(crash.work))
      .Add("source", source);
  const auto pause = QuarantinedFor(crash.work);
  if (pause && !before) {
    utils::DecisionLog("work_quarantined")
        .Add("work", crash.work)
        .Add("crashes", ledger_.crashes(crash.work))
        .Add("for_ms", pause->count())
        .Add("source", source);
    SetMetric();
  }
  return true;
}

void WorkQuarantine::TellOthers(const std::vector<Crash>& crashes) {
  links_.Broadcast([&](peer::Frame& frame) {
    std::ranges::copy(crashes, std::back_inserter(frame.crashes));
  });
}

void WorkQuarantine::OnGoodRun(const std::string& work,
                               const std::string& service) {
  const bool quarantined = QuarantinedFor(work).has_value();
  const GoodRun run{.work = work, .service = service, .at = Clock::now()};
  if (!ledger_.Note(run)) return;
  utils::DecisionLog("work_acquitted")
      .Add("work", work)
      .Add("service", service);
  links_.Broadcast([&](peer::Frame& frame) { frame.good_runs.push_back(run); });
  if (quarantined && archive_) {
    archive_->Write(work, ledger_.CrashesUnder(work));
  }
  SetMetric();
}

std::optional<milliseconds> WorkQuarantine::QuarantinedFor(
    std::string_view work) const {
  if (!context_.Uses(config::Mechanism::kQuarantine)) return std::nullopt;
  return ledger_.QuarantinedFor(work, Clock::now());
}

bool WorkQuarantine::IsSuspect(std::string_view work) const {
  return context_.Uses(config::Mechanism::kQuarantine) &&
         ledger_.IsSuspect(work);
}

int WorkQuarantine::crashes(std::string_view work) const {
  if (!context_.Uses(config::Mechanism::kQuarantine)) return 0;
  return ledger_.crashes(work);
}

void WorkQuarantine::OnFrame(const std::string& source,
                             const peer::Frame& frame) {
  for (const Crash& crash : frame.crashes) Note(crash, source);
  for (const GoodRun& run : frame.good_runs) ledger_.Note(run);
}

void WorkQuarantine::OnNewEra() {
  if (archive_) archive_->WriteAgain();
}

void WorkQuarantine::Introduce(peer::Frame& frame) const {
  for (const Crash& crash : ledger_.Crashes()) {
    if (ledger_.CrashesUnder(crash.work).size() < kWorthTelling) continue;
    frame.crashes.push_back(crash);
  }
}

void WorkQuarantine::SetMetric() const {
  context_.metrics->SetQuarantined(ledger_.quarantined(Clock::now()));
}

}  // namespace turmeric::entry
