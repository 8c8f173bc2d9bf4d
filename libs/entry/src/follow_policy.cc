#include "turmeric/entry/follow_policy.h"

#include <algorithm>
#include <array>
#include <iterator>
#include <utility>

namespace turmeric::entry {

using std::chrono::milliseconds;

namespace {

/** A relay tells its state every second; one that has missed two is frozen,
 * cut off or gone. */
constexpr milliseconds kSilence{2200};
/** A relay that was asked answers within this: a connection and a turn of a
 * small processor. */
constexpr milliseconds kFirstAnswer{1200};
/** A relay that lacks a change for so long does not get it by itself: it has
 * lost the store without noticing, or tells an age that is not true. */
constexpr milliseconds kBehindFor{1500};
/** A relay that was passed by is asked again after this, and after twice as
 * long each further time: entries of instances that are gone stay listed. */
constexpr milliseconds kFirstAvoid{3000};
constexpr milliseconds kLongestAvoid{30000};
/** After its start an instance looks for relays before it follows the store
 * itself: it has just read all there is, and a fleet that starts would
 * otherwise ask several times more. */
constexpr milliseconds kSeek{2000};
/** Relays hear of the store with the end of each watch, and tell it with the
 * next beat. If nobody has for so much longer, their connections to it may have
 * gone silent: then everybody asks. */
constexpr milliseconds kOverdue{2000};

}  // namespace

void FollowPolicy::OnHeard(const std::string& name, milliseconds store_age,
                           bool behind, Clock::time_point now) {
  const auto it = sources_.find(name);
  if (it == sources_.end()) return;
  Source& source = it->second;
  source.heard = now;
  source.store_age = store_age;
  if (!behind) {
    source.behind_since.reset();
    avoided_.erase(name);
  } else if (!source.behind_since) {
    source.behind_since = now;
  }
}

void FollowPolicy::OnLost(const std::string& name, Clock::time_point now) {
  if (sources_.erase(name) > 0) Avoid(name, now);
}

void FollowPolicy::Avoid(const std::string& name, Clock::time_point now) {
  Avoided& avoided = avoided_[name];
  avoided.pause = std::clamp(avoided.pause * 2, kFirstAvoid, kLongestAvoid);
  avoided.till = now + avoided.pause;
}

FollowPolicy::Fault FollowPolicy::FaultOf(const Source& source,
                                          Clock::time_point now) const {
  if (!source.heard) {
    return now - source.asked > kFirstAnswer ? Fault::kNoAnswer : Fault::kNone;
  }
  // Guard: an instance that is frozen or cut off keeps its connections open.
  // Relied on, its followers would act on an old configuration until it is
  // back, long after others have the new one.
  if (now - *source.heard > kSilence) return Fault::kSilent;
  if (source.behind_since && now - *source.behind_since > kBehindFor) {
    return Fault::kBehind;
  }
  return Fault::kNone;
}

bool FollowPolicy::IsGood(const Source& source, Clock::time_point now) const {
  return source.heard && FaultOf(source, now) == Fault::kNone;
}

void FollowPolicy::DropFaulty(Clock::time_point now, Decision& decision) {
  for (auto it = sources_.begin(); it != sources_.end();) {
    const Fault why = FaultOf(it->second, now);
    if (why == Fault::kNone) {
      ++it;
      continue;
    }
    decision.drop.push_back({it->first, why});
    Avoid(it->first, now);
    it = sources_.erase(it);
  }
}

std::vector<std::string> FollowPolicy::Wanted(const Situation& situation,
                                              Clock::time_point now) {
  std::vector<std::string> wanted;
  if (!situation.preferred) return wanted;
  for (const std::string& name : *situation.preferred) {
    const auto avoided = avoided_.find(name);
    if (avoided != avoided_.end() && now < avoided->second.till) continue;
    wanted.push_back(name);
    if (wanted.size() == kSources) break;
  }
  return wanted;
}

FollowPolicy::Decision FollowPolicy::Decide(const Situation& situation,
                                            Clock::time_point now) {
  if (!started_) started_ = now;
  Decision decision;
  DropFaulty(now, decision);
  const std::vector<std::string> wanted = Wanted(situation, now);
  for (const std::string& name : wanted) {
    if (sources_.contains(name)) continue;
    sources_[name].asked = now;
    decision.ask.push_back(name);
  }
  // Others are given up only once the wanted ones have answered.
  const bool all_good = std::ranges::all_of(
      wanted, [&](const auto& name) { return IsGood(sources_.at(name), now); });
  if (all_good && situation.preferred) {
    for (auto it = sources_.begin(); it != sources_.end();) {
      if (std::ranges::count(wanted, it->first) > 0) {
        ++it;
        continue;
      }
      decision.drop.push_back({it->first, Fault::kBetterKnown});
      it = sources_.erase(it);
    }
  }
  DecideWatch(situation, now, decision);
  return decision;
}

void FollowPolicy::DecideWatch(const Situation& situation,
                               Clock::time_point now, Decision& decision) {
  const auto good = std::ranges::count_if(
      sources_, [&](const auto& s) { return IsGood(s.second, now); });
  const bool seeking = now - *started_ < kSeek && good == 0;
  const auto begin_watch = [&](std::string_view why, bool patient) {
    decision.watch = true;
    decision.patient = patient;
    decision.why = why;
  };
  if (seeking) {
    decision.why = "seeks_relays";
  } else if (situation.is_relay && now - *started_ >= kSeek) {
    begin_watch("relay", false);
  } else if (good == 0) {
    begin_watch("no_relay", false);
  } else if (StoreAge(situation.store_heard, now) >
             situation.watch_wait + kOverdue) {
    begin_watch("store_not_heard", true);
  } else {
    decision.why = "follows_relays";
  }
}

std::vector<std::string> FollowPolicy::sources() const {
  std::vector<std::string> names;
  std::ranges::transform(sources_, std::back_inserter(names),
                         [](const auto& source) { return source.first; });
  return names;
}

milliseconds FollowPolicy::OthersStoreAge(Clock::time_point now) const {
  auto age = milliseconds::max();
  for (const auto& [name, source] : sources_) {
    if (!IsGood(source, now)) continue;
    const auto since =
        std::chrono::duration_cast<milliseconds>(now - *source.heard);
    age = std::min(age, source.store_age + since);
  }
  return age;
}

milliseconds FollowPolicy::StoreAge(Clock::time_point store_heard,
                                    Clock::time_point now) const {
  const auto own = std::chrono::duration_cast<milliseconds>(now - store_heard);
  return std::min(own, OthersStoreAge(now));
}

std::string_view FaultName(FollowPolicy::Fault fault) {
  // In the order of Fault.
  constexpr std::array<std::string_view, 5> kNames = {
      "none", "no_answer", "silent", "behind", "better_known"};
  return kNames.at(static_cast<size_t>(fault));
}

}  // namespace turmeric::entry
