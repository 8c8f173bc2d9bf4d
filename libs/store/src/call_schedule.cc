#include "turmeric/store/call_schedule.h"

#include <algorithm>
#include <utility>

#include "turmeric/store/backoff.h"

namespace turmeric::store {

using std::chrono::duration_cast;
using std::chrono::milliseconds;

namespace {

/** How much later than peers a schedule may receive a change before its watch
 * counts as lost: covers a few round trips and a scheduling delay. */
constexpr milliseconds kPeerChangeDelay{200};
/** How much later than peers a passive schedule's instance may receive a change
 * before it reads the change from the store. Relays forward a change as soon as
 * one of them has received it. */
constexpr milliseconds kPassivePeerChangeDelay{1000};
/** Smallest interval between two calls made for lacking changes or for a lost
 * watch, so that wrong reports of peers cannot cause calls in a loop. */
constexpr milliseconds kExtraCallGap{1000};
static_assert(kPassivePeerChangeDelay + kExtraCallGap <=
              CallSchedule::kMaxReadDelay);
/** How much longer than its requested wait a watch may be open. */
constexpr milliseconds kMaxWatchOverrun{500};
/** Interval at which a schedule checks whether its probe leader has reached
 * the store. */
constexpr milliseconds kLeaderPoll{50};
/** How much longer a schedule leaves an unreachable store to its probe leader.
 * The leader's kind alone may be unreadable. */
constexpr milliseconds kMaxLeaderWait{2000};
/** Wait of a watch that only probes the store, catches up, or confirms that
 * nothing is lacking. Its loss must be noticed soon. */
constexpr milliseconds kProbeWatchWait{100};
/** Interval between two calls to an unreachable store for instances that rely
 * on other instances to probe it. */
constexpr milliseconds kSlowRetryInterval{6000};
/** Delay between a change and the next watch: well below the 2 s within which a
 * change must be in force. */
constexpr milliseconds kCoalesceDelay{400};
/** Delay after the second consecutive unproductive answer (an early watch end
 * without changes, or no history), doubled with each further one. Prevents a
 * loop of calls when such answers arrive at once. The largest delay leaves time
 * to read a change within the 2 s in which it must be in force. */
constexpr milliseconds kInitialUnproductiveDelay{100};
constexpr int kMaxUnproductiveDoublings = 3;

/** @param count consecutive unproductive answers, see
 * kInitialUnproductiveDelay. @return the delay before the next call. */
milliseconds DelayAfterUnproductive(int count) {
  if (count < 2) return milliseconds(0);
  return kInitialUnproductiveDelay *
         (1 << std::min(count - 2, kMaxUnproductiveDoublings));
}

}  // namespace

void CallSchedule::SetPassive(bool passive, Clock::time_point heard_at) {
  if (std::exchange(passive_, passive) == passive || !synced_ || passive) {
    return;
  }
  // Failed calls from before the passive phase do not show whether the store is
  // reachable now. If they counted as a current outage, upstreams that have
  // left would stay in use.
  reachable_ = true;
  failures_ = 0;
  is_unconfirmed_ = true;
  contact_at_ = std::max(answered_at_, heard_at);
}

void CallSchedule::AdvanceTo(int64_t revision, Clock::time_point now) {
  const bool lacked = lacks_changes();
  revision_ = std::max(revision_, revision);
  if (!lacked || lacks_changes() || newest_lacking_ <= revision_) return;
  lacking_ = newest_lacking_;
  lacking_since_ = now;
  lacking_due_ = now + kPassivePeerChangeDelay;
}

void CallSchedule::Require(int64_t revision, milliseconds delay,
                           Clock::time_point now) {
  if (revision <= revision_) return;
  const bool lacked = lacks_changes();
  newest_lacking_ = std::max(newest_lacking_, revision);
  // An open watch usually delivers the change by itself.
  if (flight_ && !flight_->call.is_list) {
    delay = std::max(delay, kPeerChangeDelay);
  }
  const auto due = now + delay;
  if (lacked) {
    lacking_due_ = std::min(lacking_due_, due);
    return;
  }
  lacking_ = revision;
  lacking_since_ = now;
  lacking_due_ = due;
}

void CallSchedule::RequireUpTo(int64_t revision, Clock::time_point now) {
  Require(revision, milliseconds(0), now);
}

void CallSchedule::OnPeerChange(int64_t revision, Clock::time_point now) {
  Require(revision, passive_ ? kPassivePeerChangeDelay : kPeerChangeDelay, now);
}

bool CallSchedule::probes() const {
  return synced_ && !reachable_ && (flight_.has_value() || DueAt().has_value());
}

// Returns when the next call is due if none is in flight.
std::optional<CallSchedule::Clock::time_point> CallSchedule::DueAt() const {
  if (!started_) return std::nullopt;
  if (passive_ && synced_) {
    if (!lacks_changes()) return std::nullopt;
    return std::max(
        {not_before_, retry_at_, lacking_due_, extra_call_at_ + kExtraCallGap});
  }
  Clock::time_point due = slow_retry_ && synced_ ? slow_retry_at_ : retry_at_;
  if (lacks_changes()) due = std::min(due, std::max(retry_at_, lacking_due_));
  return std::max(not_before_, due);
}

// Guard: the loss of a long watch is noticed only when the watch should have
// ended. It is replaced if a change that peers have received does not arrive.
// Long watches are started while peers send messages, because these messages
// report changes; when the messages stop, a watch is replaced once it has been
// open kMaxWatchOverrun longer than the wait of a watch started now.
bool CallSchedule::ReplacesWatch(const Situation& situation,
                                 Clock::time_point now) const {
  if (flight_->call.is_list || now < extra_call_at_ + kExtraCallGap) {
    return false;
  }
  if (lacks_changes() && now >= lacking_due_) return true;
  return reachable_ && !passive_ &&
         now - flight_->started_at > situation.watch_wait + kMaxWatchOverrun;
}

std::optional<CallSchedule::Call> CallSchedule::TakeCall(
    const Situation& situation, Clock::time_point now) {
  if (flight_) {
    if (!ReplacesWatch(situation, now)) return std::nullopt;
    extra_call_at_ = now;
    return Begin(situation, now);
  }
  const auto due = DueAt();
  if (!due || now < *due) return std::nullopt;
  // Every instance probes an unreachable store several times a second; a single
  // schedule per instance is enough for that, unless it is known that the store
  // has answered another instance.
  const bool waits_for_leader = situation.leader_probes && !reachable_ &&
                                !lacks_changes() && now < *due + kMaxLeaderWait;
  if (waits_for_leader) return std::nullopt;
  if (passive_ && synced_) extra_call_at_ = now;
  return Begin(situation, now);
}

std::optional<CallSchedule::Clock::time_point> CallSchedule::NextDecisionAt(
    Clock::time_point now) const {
  if (flight_) {
    if (flight_->call.is_list || !lacks_changes()) return std::nullopt;
    return std::max(lacking_due_, extra_call_at_ + kExtraCallGap);
  }
  const auto due = DueAt();
  if (!due || *due > now) return due;
  return now + kLeaderPoll;
}

CallSchedule::Call CallSchedule::Begin(const Situation& situation,
                                       Clock::time_point now) {
  // Guard: a call sent just before an unreachable store recovers may never be
  // answered. With the full wait it would time out seconds after the recovery,
  // and a configuration accepted in that time would come into force too late.
  // The same holds for a first watch after a passive phase, and its answer
  // shows to followers that this instance reaches the store.
  const bool is_short = !reachable_ || passive_ || is_unconfirmed_;
  flight_ = {.call = {.is_list = list_next_,
                      .after = revision_,
                      .wait = is_short ? kProbeWatchWait : situation.watch_wait,
                      .sequence = ++sequence_},
             .started_at = now};
  return flight_->call;
}

bool CallSchedule::EndFlight(const Call& call) {
  if (!flight_ || flight_->call.sequence != call.sequence) return false;
  flight_.reset();
  return true;
}

CallSchedule::Outcome CallSchedule::RecordAnswer(int64_t revision,
                                                 Clock::time_point now) {
  Outcome outcome{.is_current = true};
  if (!reachable_ && synced_) {
    outcome.outage = duration_cast<milliseconds>(now - contact_at_);
  }
  outcome.reachable_changed = !std::exchange(reachable_, true);
  failures_ = 0;
  is_unconfirmed_ = false;
  retry_at_ = slow_retry_at_ = {};
  contact_at_ = answered_at_ = now;
  AdvanceTo(revision, now);
  return outcome;
}

CallSchedule::Outcome CallSchedule::OnListed(const Call& call, int64_t revision,
                                             Clock::time_point now) {
  if (!EndFlight(call)) return {};
  const Outcome outcome = RecordAnswer(revision, now);
  synced_ = true;
  list_next_ = false;
  return outcome;
}

CallSchedule::Outcome CallSchedule::OnWatched(const Call& call,
                                              int64_t revision,
                                              bool has_changes,
                                              Clock::time_point now) {
  const auto started_at = flight_ ? flight_->started_at : now;
  if (!EndFlight(call)) return {};
  const Outcome outcome = RecordAnswer(revision, now);
  history_gone_count_ = 0;
  const bool is_early = !has_changes && now - started_at < call.wait / 2;
  early_watch_count_ = is_early ? early_watch_count_ + 1 : 0;
  // Changes come in series (upstreams replaced one after the other, series of
  // settings writes). All changes within the delay are received with one call
  // instead of one call each.
  not_before_ =
      now + (has_changes ? kCoalesceDelay
                         : DelayAfterUnproductive(early_watch_count_));
  return outcome;
}

CallSchedule::Outcome CallSchedule::OnFailed(const Call& call, utils::Errc code,
                                             double jitter,
                                             Clock::time_point now) {
  const auto started_at = flight_ ? flight_->started_at : now;
  if (!EndFlight(call)) return {};
  if (code == utils::Errc::kStoreRevisionGone) {
    // Guard: a store that has no history for the revision of the list it has
    // just returned would be called in a loop without the delay.
    list_next_ = true;
    not_before_ = now + DelayAfterUnproductive(++history_gone_count_);
    extra_call_at_ = {};
    return {.is_current = true};
  }
  ++failures_;
  const bool was_reachable = std::exchange(reachable_, false);
  const milliseconds delay = RetryDelay(
      failures_, duration_cast<milliseconds>(now - started_at), jitter);
  const auto slow_delay =
      duration_cast<milliseconds>(kSlowRetryInterval * jitter);
  retry_at_ = now + delay;
  slow_retry_at_ = now + std::max(delay, slow_delay);
  extra_call_at_ = {};
  return {.is_current = true,
          .reachable_changed = was_reachable || failures_ == 1};
}

}  // namespace turmeric::store
