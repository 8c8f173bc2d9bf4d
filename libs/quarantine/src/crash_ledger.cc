#include "turmeric/quarantine/crash_ledger.h"

#include <algorithm>
#include <iterator>

namespace turmeric::quarantine {

using std::chrono::milliseconds;

namespace {

/** Weights of a crash. A request that had run for a while when its upstream
 * ended is less likely to be the cause than one that had just begun. */
constexpr int kAtTheBeginning = 2;
constexpr int kAfterProgress = 1;
/** Weight from which a request is held to be the cause: three upstreams that
 * ended as they began to run it. */
constexpr int kCauseWeight = 3 * kAtTheBeginning;
/** Upstreams that end within a moment may have lost power together; copies of a
 * request that ends them do so at moments of their own. The pause is long
 * enough for them to be back, and the next copy tells which it was. */
constexpr milliseconds kOneMoment{100};
constexpr milliseconds kOutagePause{3000};
/** Weight from which it is kept apart from others. */
constexpr int kSuspectWeight = kAtTheBeginning;
/** A first quarantine, doubled by each further crash after it: callers learn
 * whether what has been mended since runs, and little breaks if it does not. */
constexpr milliseconds kFirstQuarantine = std::chrono::minutes(10);
constexpr milliseconds kLongestQuarantine = std::chrono::hours(24);
/** A crash counts for so long after the last one under the same work, or after
 * its quarantine. */
constexpr milliseconds kRemembered = std::chrono::minutes(10);
/** Works kept; beyond, those with the oldest crash go. */
constexpr size_t kMostWorks = 4096;
/** Crashes kept under one work; more would change nothing but its length. */
constexpr size_t kMostCrashes = 32;

int WeightOf(const Crash& crash) {
  return crash.progressed ? kAfterProgress : kAtTheBeginning;
}

}  // namespace

bool CrashLedger::Work::Counts(const Crash& crash) const {
  const auto run = good_runs.find(crash.service);
  return run == good_runs.end() || crash.at > run->second;
}

Clock::time_point CrashLedger::Work::last() const {
  Clock::time_point last{};
  for (const auto& [upstream, crash] : crashes) last = std::max(last, crash.at);
  return last;
}

int CrashLedger::Work::weight() const {
  int weight = 0;
  for (const auto& [upstream, crash] : crashes) {
    if (Counts(crash)) weight += WeightOf(crash);
  }
  return weight;
}

bool CrashLedger::Work::AllAtOneMoment() const {
  auto first = Clock::time_point::max();
  Clock::time_point last{};
  for (const auto& [upstream, crash] : crashes) {
    if (!Counts(crash)) continue;
    first = std::min(first, crash.at);
    last = std::max(last, crash.at);
  }
  return last - first <= kOneMoment;
}

std::optional<Clock::time_point> CrashLedger::Work::QuarantinedTill() const {
  const int held_against = weight();
  if (held_against < kCauseWeight) return std::nullopt;
  // Guard: an outage ends many upstreams at one moment, and popular requests
  // run on most of them. Held to be the cause for minutes, they would be
  // refused while no copy may run to acquit them.
  if (AllAtOneMoment()) return last() + kOutagePause;
  milliseconds length = kFirstQuarantine;
  for (int more = kCauseWeight + kAtTheBeginning;
       more <= held_against && length < kLongestQuarantine;
       more += kAtTheBeginning) {
    length *= 2;
  }
  return last() + std::min(length, kLongestQuarantine);
}

const CrashLedger::Work* CrashLedger::Find(std::string_view work) const {
  const auto it = works_.find(work);
  return it == works_.end() ? nullptr : &it->second;
}

bool CrashLedger::Note(const Crash& crash) {
  if (!works_.contains(crash.work)) MakeRoom();
  Work& work = works_[crash.work];
  if (work.crashes.size() >= kMostCrashes) return false;
  const auto [it, is_new] = work.crashes.emplace(crash.upstream, crash);
  return is_new && work.Counts(it->second);
}

bool CrashLedger::Note(const GoodRun& run) {
  const auto it = works_.find(run.work);
  if (it == works_.end()) return false;
  Work& work = it->second;
  const bool counted_before =
      std::ranges::any_of(work.crashes, [&](const auto& entry) {
        const Crash& c = entry.second;
        return c.service == run.service && work.Counts(c) && c.at <= run.at;
      });
  auto& at = work.good_runs[run.service];
  at = std::max(at, run.at);
  return counted_before;
}

int CrashLedger::crashes(std::string_view work) const {
  return static_cast<int>(CrashesUnder(work).size());
}

bool CrashLedger::IsSuspect(std::string_view work) const {
  const Work* found = Find(work);
  return found != nullptr && found->weight() >= kSuspectWeight;
}

std::optional<milliseconds> CrashLedger::QuarantinedFor(
    std::string_view work, Clock::time_point now) const {
  const Work* found = Find(work);
  if (found == nullptr) return std::nullopt;
  const auto till = found->QuarantinedTill();
  if (!till || *till <= now) return std::nullopt;
  return std::chrono::ceil<milliseconds>(*till - now);
}

std::vector<Crash> CrashLedger::CrashesUnder(std::string_view work) const {
  std::vector<Crash> crashes;
  const Work* found = Find(work);
  if (found == nullptr) return crashes;
  for (const auto& [upstream, crash] : found->crashes) {
    if (found->Counts(crash)) crashes.push_back(crash);
  }
  return crashes;
}

std::vector<Crash> CrashLedger::Crashes() const {
  std::vector<Crash> all;
  for (const auto& [name, work] : works_) {
    std::ranges::move(CrashesUnder(name), std::back_inserter(all));
  }
  return all;
}

size_t CrashLedger::quarantined(Clock::time_point now) const {
  return static_cast<size_t>(
      std::ranges::count_if(works_, [&](const auto& entry) {
        return QuarantinedFor(entry.first, now).has_value();
      }));
}

void CrashLedger::Expire(Clock::time_point now) {
  std::erase_if(works_, [now](const auto& entry) {
    const Work& work = entry.second;
    const auto till = work.QuarantinedTill().value_or(work.last());
    return till + kRemembered <= now;
  });
}

void CrashLedger::MakeRoom() {
  if (works_.size() < kMostWorks) return;
  works_.erase(std::ranges::min_element(
      works_, {}, [](const auto& entry) { return entry.second.last(); }));
}

}  // namespace turmeric::quarantine
