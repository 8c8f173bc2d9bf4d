#include "turmeric/quarantine/crash_ledger.h"

#include <algorithm>
#include <iterator>
#include <numeric>

#include "turmeric/quarantine/explanation.h"

namespace turmeric::quarantine {

using std::chrono::milliseconds;

namespace {

/** Cost of the cheapest other explanation from which a request is quarantined:
 * three upstreams crashed as they began to answer it, without another cause in
 * common. */
constexpr int kQuarantineCost = 3 * kEarlyCrashWeight;
/** Cost from which it is certain even though other causes explain a part. */
constexpr int kCertainCost = kQuarantineCost + kEarlyCrashWeight;
/** Upstreams that crash within this window may have lost power together,
 * whereas crashes caused by one request occur at different times. */
constexpr milliseconds kOutageWindow{100};
/** Mean interval between the crashes of an outage; requests that cause crashes
 * one after the other take longer to begin. */
constexpr milliseconds kOutageInterval{10};
/** Quarantine after an outage or with little evidence. It lasts until the
 * upstreams have restarted; the next request then shows whether its traits are
 * the cause. */
constexpr milliseconds kShortQuarantine{3000};
/** Duration of the first quarantine; each further early crash (or two late
 * ones) doubles it. Once it expires, one request is admitted: it completes if
 * the fault has been fixed, and crashes one upstream if not. */
constexpr milliseconds kFirstQuarantine = std::chrono::minutes(10);
constexpr milliseconds kMaxQuarantine = std::chrono::hours(24);
/** Time for which other requests wait for the result of a trial. */
constexpr milliseconds kTrialTime{10000};
/** Time for which a record is kept: counted from the end of the quarantine of
 * its request, or from the request's last crash if it is not quarantined. */
constexpr milliseconds kCrashRetention = std::chrono::minutes(10);
/** Largest number of records. Beyond it, the oldest one that quarantines no
 * request is evicted. */
constexpr size_t kMaxRecords = 4096;
/** Records checked in one call of Expire, to bound its time. */
constexpr size_t kMaxExpiryChecks = 512;
/** Oldest records checked for one that quarantines no request. */
constexpr size_t kMaxEvictionChecks = 64;
/** Crashes under one request that are considered. */
constexpr std::ptrdiff_t kMaxCounted = 64;
/** Bounds of what is sent to other instances and stored. */
constexpr std::ptrdiff_t kMaxCrashesUnder = 16;
constexpr size_t kMaxRecurring = 256;
/** Number of upstreams whose crashes make a trait recurring. Most traits with a
 * single crash only ran on an upstream that ended for another reason. */
constexpr size_t kRecurring = 2;

int WeightOf(const Crash& crash) {
  return crash.progressed ? kLateCrashWeight : kEarlyCrashWeight;
}

template <class Crashes>
int SumOfWeights(const Crashes& crashes) {
  return std::accumulate(
      crashes.begin(), crashes.end(), 0,
      [](int sum, const auto& crash) { return sum + crash.weight; });
}

bool Has(const std::vector<std::string>& parts, std::string_view part) {
  return std::ranges::find(parts, part) != parts.end();
}

bool Has(const RequestTraits& traits, std::string_view trait) {
  return traits.fingerprint == trait || Has(traits.parts, trait);
}

/** Calls a function with each trait of a record. */
template <class Function>
void ForEachTrait(const Crash& crash, const Function& function) {
  function(crash.fingerprint);
  std::ranges::for_each(crash.parts, function);
}

bool SharesTrait(const Crash& crash, const RequestTraits& traits) {
  return crash.fingerprint == traits.fingerprint ||
         std::ranges::any_of(crash.parts, [&](const std::string& part) {
           return Has(traits.parts, part);
         });
}

RequestTraits TraitsOf(const Crash& crash) {
  return {.fingerprint = crash.fingerprint, .parts = crash.parts};
}

std::optional<milliseconds> TimeUntil(Clock::time_point until,
                                      Clock::time_point now) {
  if (until <= now) return std::nullopt;
  return std::chrono::ceil<milliseconds>(until - now);
}

milliseconds QuarantineLength(int cost) {
  milliseconds length = kFirstQuarantine;
  for (int more = kCertainCost; more <= cost && length < kMaxQuarantine;
       more += kEarlyCrashWeight) {
    length *= 2;
  }
  return std::min(length, kMaxQuarantine);
}

}  // namespace

bool CrashLedger::TraitRecord::Counts(const std::string& service,
                                      Clock::time_point at) const {
  const auto run = good_runs.find(service);
  return run == good_runs.end() || at > run->second;
}

bool CrashLedger::Counts(std::string_view trait, const Crash& crash) const {
  return Find(trait)->Counts(crash.service, crash.at);
}

const CrashLedger::TraitRecord* CrashLedger::Find(
    std::string_view trait) const {
  const auto it = traits_.find(trait);
  return it == traits_.end() ? nullptr : &it->second;
}

bool CrashLedger::Record(const Crash& crash) {
  auto& at_upstream = crashes_[crash.upstream];
  if (!at_upstream.emplace(crash.fingerprint, crash).second) return false;
  order_.emplace(crash.at, crash.upstream, crash.fingerprint);
  bool counts = false;
  ForEachTrait(crash, [&](const std::string& trait) {
    TraitRecord& record = traits_[trait];
    TraitCrash& recorded = record.crashes[crash.upstream];
    recorded.service = crash.service;
    recorded.at = std::max(recorded.at, crash.at);
    recorded.weight = std::max(recorded.weight, WeightOf(crash));
    ++recorded.requests;
    counts = counts || record.Counts(crash.service, crash.at);
  });
  EvictIfFull();
  return counts;
}

std::vector<std::string> CrashLedger::Record(const GoodRun& run) {
  std::vector<std::string> cleared;
  const auto clear = [&](const std::string& trait) {
    const auto it = traits_.find(trait);
    if (it == traits_.end()) return;
    const auto counted = CountedCrashes(trait, run.service);
    const bool clears = std::ranges::any_of(
        counted, [&](const CountedCrash& c) { return c.at <= run.at; });
    auto& at = it->second.good_runs[run.service];
    at = std::max(at, run.at);
    if (clears) cleared.push_back(trait);
  };
  if (!run.fingerprint.empty()) clear(run.fingerprint);
  std::ranges::for_each(run.parts, clear);
  return cleared;
}

void CrashLedger::Record(const Trial& trial) {
  const auto it = traits_.find(trial.trait);
  if (it == traits_.end()) return;
  it->second.trial_at = std::max(it->second.trial_at, trial.at);
}

std::vector<CrashLedger::CountedCrash> CrashLedger::CountedCrashes(
    std::string_view trait, std::string_view service) const {
  std::vector<CountedCrash> counted;
  const TraitRecord* record = Find(trait);
  if (record == nullptr) return counted;
  for (const auto& [upstream, crash] : record->crashes) {
    if (!service.empty() && crash.service != service) continue;
    if (!record->Counts(crash.service, crash.at)) continue;
    counted.push_back({.upstream = upstream,
                       .weight = crash.weight,
                       .requests = crash.requests,
                       .at = crash.at});
  }
  return counted;
}

std::vector<CrashLedger::CountedCrash> CrashLedger::CountedCrashes(
    const ServiceRequest& request) const {
  std::vector<CountedCrash> all =
      CountedCrashes(request.traits.fingerprint, {});
  if (!request.service.empty()) {
    for (const std::string& part : request.traits.parts) {
      std::ranges::copy(CountedCrashes(part, request.service),
                        std::back_inserter(all));
    }
  }
  // Of the crashes at one upstream, the heaviest counts.
  std::ranges::sort(all, [](const CountedCrash& a, const CountedCrash& b) {
    return std::tie(a.upstream, b.weight) < std::tie(b.upstream, a.weight);
  });
  all.erase(std::unique(all.begin(), all.end(),
                        [](const CountedCrash& a, const CountedCrash& b) {
                          return a.upstream == b.upstream;
                        }),
            all.end());
  std::ranges::sort(all, {}, &CountedCrash::at);
  if (std::ssize(all) > kMaxCounted) {
    all.erase(all.begin(), all.end() - kMaxCounted);
  }
  return all;
}

int CrashLedger::WeightUnder(std::string_view trait) const {
  const TraitRecord* record = Find(trait);
  if (record == nullptr) return 0;
  int weight = 0;
  for (const auto& [upstream, crash] : record->crashes) {
    if (record->Counts(crash.service, crash.at)) weight += crash.weight;
  }
  return weight;
}

std::vector<PossibleCause> CrashLedger::OtherCauses(std::string_view upstream,
                                                    const RequestTraits& traits,
                                                    int weight) const {
  std::vector<PossibleCause> others;
  const auto& running = crashes_.find(upstream)->second;
  const bool is_copy = running.contains(traits.fingerprint);
  for (const auto& entry : running) {
    const Crash& crash = entry.second;
    const bool has_suspect = SharesTrait(crash, traits);
    ForEachTrait(crash, [&](const std::string& trait) {
      if (Has(traits, trait) || !Counts(trait, crash)) return;
      if (!has_suspect && (is_copy || WeightUnder(trait) <= weight)) return;
      others.push_back({.trait = trait, .weight = WeightOf(crash)});
    });
  }
  return others;
}

std::optional<CrashLedger::Verdict> CrashLedger::VerdictOn(
    const ServiceRequest& request) const {
  const std::vector<CountedCrash> counted = CountedCrashes(request);
  const int weight = SumOfWeights(counted);
  if (weight < kQuarantineCost) return std::nullopt;
  // Guard: an outage ends many upstreams at once, and frequent requests run on
  // most of them. With a long quarantine, these requests would be refused for
  // minutes, because none could complete and clear the recorded crashes. Parts
  // that many requests share are not refused at all.
  const auto last = counted.back().at;
  const auto span = last - counted.front().at;
  const bool is_outage = span <= kOutageWindow;
  const bool has_copies =
      WeightUnder(request.traits.fingerprint) >= kQuarantineCost;
  if (is_outage && !has_copies &&
      span <= kOutageInterval * (std::ssize(counted) - 1)) {
    return std::nullopt;
  }
  std::vector<SuspiciousCrash> suspicious;
  std::ranges::transform(
      counted, std::back_inserter(suspicious), [&](const CountedCrash& c) {
        return SuspiciousCrash{
            .weight = c.weight,
            .others = OtherCauses(c.upstream, request.traits, weight)};
      });
  const Explanation other = CheapestExplanation(suspicious);
  if (other.cost < kQuarantineCost) return std::nullopt;
  if (is_outage) {
    return Verdict{.until = last + kShortQuarantine, .allows_trial = false};
  }
  const bool is_certain = !other.blames_others || other.cost >= kCertainCost;
  return Verdict{.until = last + (is_certain ? QuarantineLength(other.cost)
                                             : kShortQuarantine),
                 .allows_trial = true};
}

int CrashLedger::crash_count(std::string_view fingerprint) const {
  return static_cast<int>(CountedCrashes(fingerprint, {}).size());
}

bool CrashLedger::IsSuspect(std::string_view fingerprint) const {
  return WeightUnder(fingerprint) >= kEarlyCrashWeight;
}

std::optional<milliseconds> CrashLedger::RemainingQuarantine(
    const ServiceRequest& request, Clock::time_point now) const {
  const auto verdict = VerdictOn(request);
  return verdict ? TimeUntil(verdict->until, now) : std::nullopt;
}

std::optional<milliseconds> CrashLedger::RemainingQuarantine(
    std::string_view fingerprint, Clock::time_point now) const {
  if (Find(fingerprint) == nullptr) return std::nullopt;
  const RequestTraits traits{.fingerprint = std::string(fingerprint),
                             .parts = {}};
  return RemainingQuarantine({.traits = traits, .service = {}}, now);
}

std::optional<milliseconds> CrashLedger::RemainingTrial(
    const ServiceRequest& request, Clock::time_point now) const {
  const auto verdict = VerdictOn(request);
  if (!verdict || !verdict->allows_trial || now < verdict->until) {
    return std::nullopt;
  }
  const auto begun = Find(CauseIn(request))->trial_at;
  if (begun < verdict->until) return std::nullopt;
  return TimeUntil(begun + kTrialTime, now);
}

std::optional<std::string> CrashLedger::TrialOf(const ServiceRequest& request,
                                                Clock::time_point now) const {
  const auto verdict = VerdictOn(request);
  if (!verdict || !verdict->allows_trial || now < verdict->until) {
    return std::nullopt;
  }
  return CauseIn(request);
}

std::string CrashLedger::CauseIn(const ServiceRequest& request) const {
  std::vector<std::string_view> traits{request.traits.fingerprint};
  if (!request.service.empty()) {
    std::ranges::copy(request.traits.parts, std::back_inserter(traits));
  }
  std::string_view cause;
  auto most = std::tuple(size_t{0}, 0);
  for (const std::string_view trait : traits) {
    const std::string_view service = trait == request.traits.fingerprint
                                         ? std::string_view()
                                         : request.service;
    const auto counted = CountedCrashes(trait, service);
    if (counted.empty()) continue;
    const int requests = std::accumulate(
        counted.begin(), counted.end(), 0,
        [](int sum, const CountedCrash& c) { return sum + c.requests; });
    const auto rank = std::tuple(counted.size(), -requests);
    if (rank > most || (rank == most && trait < cause)) {
      cause = trait;
      most = rank;
    }
  }
  return std::string(cause);
}

Crash CrashLedger::WithCountedParts(const Crash& crash) const {
  Crash counted = crash;
  std::erase_if(counted.parts,
                [&](const std::string& part) { return !Counts(part, crash); });
  return counted;
}

std::vector<Crash> CrashLedger::CrashesUnder(
    const ServiceRequest& request) const {
  const std::string cause = CauseIn(request);
  RequestTraits traits;
  (IsPartKey(cause) ? traits.parts.emplace_back() : traits.fingerprint) = cause;
  std::vector<Crash> crashes;
  for (const CountedCrash& counted :
       CountedCrashes(ServiceRequest{traits, request.service})) {
    for (const auto& entry : crashes_.find(counted.upstream)->second) {
      const Crash crash = WithCountedParts(entry.second);
      if (SharesTrait(crash, traits)) crashes.push_back(crash);
    }
  }
  if (std::ssize(crashes) > kMaxCrashesUnder) {
    crashes.erase(crashes.begin(), crashes.end() - kMaxCrashesUnder);
  }
  return crashes;
}

std::vector<Crash> CrashLedger::RecurringCrashes() const {
  std::vector<Crash> recurring;
  for (auto key = order_.rbegin();
       key != order_.rend() && recurring.size() < kMaxRecurring; ++key) {
    const auto& [at, upstream, fingerprint] = *key;
    const Crash& crash = crashes_.at(upstream).at(fingerprint);
    bool recurs = false;
    ForEachTrait(crash, [&](const std::string& trait) {
      recurs = recurs || (Counts(trait, crash) &&
                          CountedCrashes(trait, {}).size() >= kRecurring);
    });
    if (recurs) recurring.push_back(WithCountedParts(crash));
  }
  return recurring;
}

Clock::time_point CrashLedger::last_crash_at(std::string_view trait) const {
  Clock::time_point last{};
  const TraitRecord* record = Find(trait);
  if (record == nullptr) return last;
  for (const auto& [upstream, crash] : record->crashes) {
    last = std::max(last, crash.at);
  }
  return last;
}

bool CrashLedger::IsExpired(const Crash& crash, Clock::time_point now) const {
  const RequestTraits traits = TraitsOf(crash);
  const ServiceRequest request{.traits = traits, .service = crash.service};
  auto base = crash.at;
  if (const auto verdict = VerdictOn(request)) {
    base = verdict->until;
  } else if (const auto counted = CountedCrashes(request); !counted.empty()) {
    base = std::max(base, counted.back().at);
  }
  return base + kCrashRetention <= now;
}

void CrashLedger::Expire(Clock::time_point now) {
  std::vector<RecordKey> expired;
  size_t checked = 0;
  for (const RecordKey& key : order_) {
    if (std::get<0>(key) + kCrashRetention > now) break;
    if (++checked > kMaxExpiryChecks) break;
    const auto& [at, upstream, fingerprint] = key;
    if (IsExpired(crashes_.at(upstream).at(fingerprint), now)) {
      expired.push_back(key);
    }
  }
  for (const RecordKey& key : expired) Erase(key);
}

void CrashLedger::Erase(const RecordKey& key) {
  const auto& [at, upstream, fingerprint] = key;
  const auto entry = crashes_.find(upstream);
  const auto node = entry->second.extract(fingerprint);
  const auto& remaining = entry->second;
  ForEachTrait(node.mapped(), [&](const std::string& trait) {
    const bool still_there =
        std::ranges::any_of(remaining, [&](const auto& other) {
          return other.first == trait || Has(other.second.parts, trait);
        });
    const auto record = traits_.find(trait);
    if (record == traits_.end()) return;
    --record->second.crashes.at(node.mapped().upstream).requests;
    if (still_there) return;
    record->second.crashes.erase(node.mapped().upstream);
    if (record->second.crashes.empty()) traits_.erase(record);
  });
  if (remaining.empty()) crashes_.erase(entry);
  order_.erase(RecordKey(key));
}

void CrashLedger::EvictIfFull() {
  if (order_.size() <= kMaxRecords) return;
  auto evicted = order_.begin();
  size_t checked = 0;
  for (auto key = order_.begin();
       key != order_.end() && checked < kMaxEvictionChecks; ++key, ++checked) {
    const Crash& crash = crashes_.at(std::get<1>(*key)).at(std::get<2>(*key));
    const RequestTraits traits = TraitsOf(crash);
    if (VerdictOn({.traits = traits, .service = crash.service})) continue;
    evicted = key;
    break;
  }
  Erase(*evicted);
}

}  // namespace turmeric::quarantine
