#include "turmeric/quarantine/crash_ledger.h"

#include <algorithm>
#include <iterator>

namespace turmeric::quarantine {

using std::chrono::milliseconds;

namespace {

/** Weights of a crash before and after the first part of the answer. A request
 * that had run for a while is less likely to be the cause than one that had
 * just begun. */
constexpr int kEarlyCrashWeight = 2;
constexpr int kLateCrashWeight = 1;
/** Weight from which a request is quarantined: three upstreams crashed at the
 * start of its run. */
constexpr int kQuarantineWeight = 3 * kEarlyCrashWeight;
/** Upstreams that crash within this window may have lost power together,
 * whereas crashes caused by copies of one request occur at different times.
 * The short quarantine lasts until the upstreams have restarted; the next copy
 * of the request then shows whether it is the cause. */
constexpr milliseconds kOutageWindow{100};
constexpr milliseconds kOutageQuarantine{3000};
/** Weight from which a request is suspect. */
constexpr int kSuspectWeight = kEarlyCrashWeight;
/** Duration of the first quarantine; each further early crash (or two late
 * ones) doubles it. Once it expires, a copy is admitted: it completes if the
 * fault has been fixed, and crashes few upstreams if not. */
constexpr milliseconds kFirstQuarantine = std::chrono::minutes(10);
constexpr milliseconds kMaxQuarantine = std::chrono::hours(24);
/** Time for which the crashes of a request are kept: counted from the end of
 * its quarantine, or from the last crash if the request is not quarantined. */
constexpr milliseconds kCrashRetention = std::chrono::minutes(10);
/** Largest number of requests with recorded crashes. Beyond it, the request
 * whose last crash is the oldest is evicted. */
constexpr size_t kMaxRequests = 4096;
/** Crashes kept per request; more would only lengthen its quarantine. */
constexpr size_t kMaxCrashesPerRequest = 32;

int WeightOf(const Crash& crash) {
  return crash.progressed ? kLateCrashWeight : kEarlyCrashWeight;
}

}  // namespace

bool CrashLedger::RequestRecord::Counts(const Crash& crash) const {
  const auto run = good_runs.find(crash.service);
  return run == good_runs.end() || crash.at > run->second;
}

Clock::time_point CrashLedger::RequestRecord::last_crash_at() const {
  Clock::time_point last{};
  for (const auto& [upstream, crash] : crashes) last = std::max(last, crash.at);
  return last;
}

int CrashLedger::RequestRecord::total_weight() const {
  int weight = 0;
  for (const auto& [upstream, crash] : crashes) {
    if (Counts(crash)) weight += WeightOf(crash);
  }
  return weight;
}

bool CrashLedger::RequestRecord::AreSimultaneous() const {
  auto first = Clock::time_point::max();
  Clock::time_point last{};
  for (const auto& [upstream, crash] : crashes) {
    if (!Counts(crash)) continue;
    first = std::min(first, crash.at);
    last = std::max(last, crash.at);
  }
  return last - first <= kOutageWindow;
}

std::optional<Clock::time_point> CrashLedger::RequestRecord::QuarantinedUntil()
    const {
  const int weight = total_weight();
  if (weight < kQuarantineWeight) return std::nullopt;
  // Guard: an outage ends many upstreams at once, and frequent requests run on
  // most of them. With a long quarantine, these requests would be refused for
  // minutes, because no copy could complete and clear the recorded crashes.
  if (AreSimultaneous()) return last_crash_at() + kOutageQuarantine;
  milliseconds length = kFirstQuarantine;
  for (int more = kQuarantineWeight + kEarlyCrashWeight;
       more <= weight && length < kMaxQuarantine; more += kEarlyCrashWeight) {
    length *= 2;
  }
  return last_crash_at() + std::min(length, kMaxQuarantine);
}

const CrashLedger::RequestRecord* CrashLedger::Find(
    std::string_view fingerprint) const {
  const auto it = records_.find(fingerprint);
  return it == records_.end() ? nullptr : &it->second;
}

bool CrashLedger::Record(const Crash& crash) {
  if (!records_.contains(crash.fingerprint)) EvictOldestIfFull();
  RequestRecord& record = records_[crash.fingerprint];
  if (record.crashes.size() >= kMaxCrashesPerRequest) return false;
  const auto [it, is_new] = record.crashes.emplace(crash.upstream, crash);
  return is_new && record.Counts(it->second);
}

bool CrashLedger::Record(const GoodRun& run) {
  const auto it = records_.find(run.fingerprint);
  if (it == records_.end()) return false;
  RequestRecord& record = it->second;
  const bool counted_before =
      std::ranges::any_of(record.crashes, [&](const auto& entry) {
        const Crash& c = entry.second;
        return c.service == run.service && record.Counts(c) && c.at <= run.at;
      });
  auto& at = record.good_runs[run.service];
  at = std::max(at, run.at);
  return counted_before;
}

int CrashLedger::crash_count(std::string_view fingerprint) const {
  return static_cast<int>(CrashesOf(fingerprint).size());
}

bool CrashLedger::IsSuspect(std::string_view fingerprint) const {
  const RequestRecord* found = Find(fingerprint);
  return found != nullptr && found->total_weight() >= kSuspectWeight;
}

std::optional<milliseconds> CrashLedger::RemainingQuarantine(
    std::string_view fingerprint, Clock::time_point now) const {
  const RequestRecord* found = Find(fingerprint);
  if (found == nullptr) return std::nullopt;
  const auto until = found->QuarantinedUntil();
  if (!until || *until <= now) return std::nullopt;
  return std::chrono::ceil<milliseconds>(*until - now);
}

std::vector<Crash> CrashLedger::CrashesOf(std::string_view fingerprint) const {
  std::vector<Crash> crashes;
  const RequestRecord* found = Find(fingerprint);
  if (found == nullptr) return crashes;
  for (const auto& [upstream, crash] : found->crashes) {
    if (found->Counts(crash)) crashes.push_back(crash);
  }
  return crashes;
}

std::vector<Crash> CrashLedger::AllCrashes() const {
  std::vector<Crash> all;
  for (const auto& [fingerprint, record] : records_) {
    std::ranges::move(CrashesOf(fingerprint), std::back_inserter(all));
  }
  return all;
}

size_t CrashLedger::quarantined_count(Clock::time_point now) const {
  return static_cast<size_t>(
      std::ranges::count_if(records_, [&](const auto& entry) {
        return RemainingQuarantine(entry.first, now).has_value();
      }));
}

void CrashLedger::Expire(Clock::time_point now) {
  std::erase_if(records_, [now](const auto& entry) {
    const RequestRecord& record = entry.second;
    const auto until =
        record.QuarantinedUntil().value_or(record.last_crash_at());
    return until + kCrashRetention <= now;
  });
}

void CrashLedger::EvictOldestIfFull() {
  if (records_.size() < kMaxRequests) return;
  records_.erase(std::ranges::min_element(records_, {}, [](const auto& entry) {
    return entry.second.last_crash_at();
  }));
}

}  // namespace turmeric::quarantine
