#include "turmeric/entry/follow_policy.h"

#include <algorithm>
#include <array>
#include <iterator>
#include <utility>

namespace turmeric::entry {

using std::chrono::milliseconds;

namespace {

/**
 * A relay sends its status every second; one that has missed two is frozen,
 * disconnected or has exited.
 */
constexpr milliseconds kStatusTimeout{2200};
/**
 * Time for a relay to answer the first follow request: a connection setup and
 * one turn of the event loop on a small processor.
 */
constexpr milliseconds kFirstAnswerTimeout{1200};
/**
 * A relay that lacks a known change for this long does not obtain it by itself:
 * its connection to the store was lost unnoticed, or the store age in its
 * status is wrong.
 */
constexpr milliseconds kBehindTimeout{1500};
/**
 * Backoff after a relay was dropped or disconnected, doubled each further time:
 * the list keeps entries of instances that no longer exist.
 */
constexpr milliseconds kMinBackoff{3000};
constexpr milliseconds kMaxBackoff{30000};
/**
 * An instance looks for relays for at most this long after its start before it
 * watches the store itself. It has just listed the store, and with watches from
 * all instances a starting fleet would call the store several times more often.
 */
constexpr milliseconds kRelaySearchTime{2000};
/**
 * A relay receives an answer from the store at the end of each watch and
 * reports it with the next heartbeat. If no relay has reported an answer for
 * this much longer than a watch waits, the relays may have lost their
 * connections to the store, so every follower watches the store itself.
 */
constexpr milliseconds kStoreAnswerMargin{2000};

}  // namespace

void FollowPolicy::OnStatus(const std::string& name, milliseconds store_age,
                            bool behind, Clock::time_point now) {
  const auto it = sources_.find(name);
  if (it == sources_.end()) return;
  Source& source = it->second;
  found_relay_ = true;
  source.last_status_at = now;
  source.store_age = store_age;
  if (!behind) {
    source.behind_since.reset();
    backoffs_.erase(name);
  } else if (!source.behind_since) {
    source.behind_since = now;
  }
}

void FollowPolicy::OnDisconnected(const std::string& name,
                                  Clock::time_point now) {
  if (sources_.erase(name) > 0) BackOff(name, now);
}

void FollowPolicy::BackOff(const std::string& name, Clock::time_point now) {
  Backoff& backoff = backoffs_[name];
  backoff.delay = std::clamp(backoff.delay * 2, kMinBackoff, kMaxBackoff);
  backoff.until = now + backoff.delay;
}

FollowPolicy::Fault FollowPolicy::FaultOf(const Source& source,
                                          Clock::time_point now) const {
  if (!source.last_status_at) {
    return now - source.requested_at > kFirstAnswerTimeout ? Fault::kNoAnswer
                                                           : Fault::kNone;
  }
  // An instance that is frozen or disconnected from the network keeps its TCP
  // connections open. Its followers would apply an outdated configuration until
  // it resumes, long after other instances have the new one.
  if (now - *source.last_status_at > kStatusTimeout) return Fault::kSilent;
  if (source.behind_since && now - *source.behind_since > kBehindTimeout) {
    return Fault::kBehind;
  }
  return Fault::kNone;
}

bool FollowPolicy::IsDelivering(const Source& source,
                                Clock::time_point now) const {
  return source.last_status_at && FaultOf(source, now) == Fault::kNone;
}

void FollowPolicy::DropFaulty(Clock::time_point now, Decision& decision) {
  for (auto it = sources_.begin(); it != sources_.end();) {
    const Fault why = FaultOf(it->second, now);
    if (why == Fault::kNone) {
      ++it;
      continue;
    }
    decision.to_drop.push_back({it->first, why});
    BackOff(it->first, now);
    it = sources_.erase(it);
  }
}

std::vector<std::string> FollowPolicy::Wanted(const Situation& situation,
                                              Clock::time_point now) {
  std::vector<std::string> wanted;
  if (!situation.preferred) return wanted;
  for (const std::string& name : *situation.preferred) {
    const auto backoff = backoffs_.find(name);
    if (backoff != backoffs_.end() && now < backoff->second.until) continue;
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
    sources_[name].requested_at = now;
    decision.to_follow.push_back(name);
  }
  // Relays outside the wanted set are dropped only once all wanted ones deliver
  // changes.
  const bool all_deliver = std::ranges::all_of(wanted, [&](const auto& name) {
    return IsDelivering(sources_.at(name), now);
  });
  if (all_deliver && situation.preferred) {
    for (auto it = sources_.begin(); it != sources_.end();) {
      if (std::ranges::count(wanted, it->first) > 0) {
        ++it;
        continue;
      }
      decision.to_drop.push_back({it->first, Fault::kSuperseded});
      it = sources_.erase(it);
    }
  }
  DecideWatch(situation, now, decision);
  return decision;
}

void FollowPolicy::DecideWatch(const Situation& situation,
                               Clock::time_point now, Decision& decision) {
  const auto delivering = std::ranges::count_if(
      sources_, [&](const auto& s) { return IsDelivering(s.second, now); });
  // Guard: an instance that has lost the relays it found during the search is
  // told of changes by no other instance. A relay keeps watching then, as its
  // sources may be instances that have just started and rely on it.
  const bool lost_relays = found_relay_ && delivering == 0;
  if (lost_relays || now - *started_ >= kRelaySearchTime) search_ended_ = true;
  const auto start_watch = [&](std::string_view why, bool slow_retry) {
    decision.watch = true;
    decision.slow_retry = slow_retry;
    decision.why = why;
  };
  if (!search_ended_ && delivering == 0) {
    decision.why = "seeks_relays";
  } else if (situation.is_relay && search_ended_) {
    start_watch("relay", false);
  } else if (delivering == 0) {
    start_watch("no_relay", false);
  } else if (StoreAge(situation.store_answered_at, now) >
             situation.watch_wait + kStoreAnswerMargin) {
    start_watch("store_not_heard", true);
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

milliseconds FollowPolicy::RelayedStoreAge(Clock::time_point now) const {
  auto age = milliseconds::max();
  for (const auto& [name, source] : sources_) {
    if (!IsDelivering(source, now)) continue;
    const auto since =
        std::chrono::duration_cast<milliseconds>(now - *source.last_status_at);
    age = std::min(age, source.store_age + since);
  }
  return age;
}

milliseconds FollowPolicy::StoreAge(Clock::time_point store_answered_at,
                                    Clock::time_point now) const {
  const auto own =
      std::chrono::duration_cast<milliseconds>(now - store_answered_at);
  return std::min(own, RelayedStoreAge(now));
}

std::string_view FaultName(FollowPolicy::Fault fault) {
  // In the order of Fault.
  constexpr std::array<std::string_view, 5> kNames = {
      "none", "no_answer", "silent", "behind", "better_known"};
  return kNames.at(static_cast<size_t>(fault));
}

}  // namespace turmeric::entry
