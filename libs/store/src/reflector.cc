#include "turmeric/store/reflector.h"

#include <algorithm>
#include <random>
#include <utility>

#include "turmeric/store/backoff.h"

namespace turmeric::store {

using std::chrono::milliseconds;
using std::chrono::steady_clock;

namespace {

/** Default wait of a watch. A connection can stop delivering data without being
 * closed, which is noticed when the watch should have ended. The wait is short
 * enough that a change is in force within 5 s of such a loss, and long enough
 * for only a few calls per minute. */
constexpr milliseconds kDefaultWatchWait{3000};
/** How much later than peers a reflector may receive a change before its watch
 * counts as lost: covers a few round trips and a scheduling delay. */
constexpr milliseconds kPeerChangeDelay{200};
/** Smallest interval between two calls made for CatchUp or for a lost watch, so
 * that wrong reports of peers cannot cause calls in a loop. */
constexpr milliseconds kExtraCallGap{1000};
/** How much longer than its requested wait a watch may be open. */
constexpr milliseconds kMaxWatchOverrun{500};
/** Interval at which a reflector checks whether its probe leader has reached
 * the store. */
constexpr milliseconds kLeaderPoll{50};
/** Wait of a watch while the store is unreachable or the reflector passive.
 * Such a watch only probes the store or catches up, and its loss must be
 * noticed soon. */
constexpr milliseconds kProbeWatchWait{100};
/** How much later than peers a passive reflector's instance may receive a
 * change before it requests the change from the store. Relays forward a change
 * as soon as one of them has received it. */
constexpr milliseconds kPassivePeerChangeDelay{1000};
/** Interval between two calls to an unreachable store for instances that rely
 * on other instances to probe it. */
constexpr milliseconds kSlowRetryInterval{2500};
/** Delay between a change and the next watch: well below the 2 s within which a
 * change must be in force. */
constexpr milliseconds kCoalesceDelay{400};

/** Delay after the second consecutive unproductive answer (an early watch end
 * without changes, or no history), doubled with each further one. Prevents a
 * loop of calls when such answers arrive at once. */
constexpr milliseconds kInitialUnproductiveDelay{100};
constexpr int kMaxUnproductiveDoublings = 6;

/** @param count consecutive unproductive answers, see
 * kInitialUnproductiveDelay. @return the delay before the next call. */
milliseconds DelayAfterUnproductive(int count) {
  if (count < 2) return milliseconds(0);
  return kInitialUnproductiveDelay *
         (1 << std::min(count - 2, kMaxUnproductiveDoublings));
}

double DrawJitter() {
  static std::minstd_rand engine{std::random_device{}()};
  return std::uniform_real_distribution<double>(0.6, 1.2)(engine);
}

}  // namespace

Reflector::Reflector(ObjectSource& source, std::string kind,
                     ReflectorEvents events)
    : source_(source), kind_(std::move(kind)), events_(std::move(events)) {
  next_call_.setSingleShot(true);
  peer_timer_.setSingleShot(true);
  connect(&peer_timer_, &QTimer::timeout, this, [this] {
    if (peer_change_ <= revision_) return;
    if (watch_in_flight_) return RestartWatch();
    if (passive_) CatchUp();
  });
  connect(&next_call_, &QTimer::timeout, this, [this] { MakeNextCall(); });
}

void Reflector::Start() { List(); }

void Reflector::SetPassive(bool passive) {
  if (std::exchange(passive_, passive) == passive || !synced_) return;
  if (passive) return;
  // Failed calls from before the passive phase do not show whether the store is
  // reachable now. If they counted as a current outage, upstreams that have
  // left would stay in use.
  reachable_ = true;
  failures_ = 0;
  last_contact_at_ = steady_clock::now();
  if (!call_in_flight_ && !next_call_.isActive()) MakeNextCall();
}

void Reflector::set_slow_retry(bool slow) {
  const bool was_slow = std::exchange(slow_retry_, slow);
  if (was_slow && !slow && next_call_.isActive()) next_call_.start(kLeaderPoll);
}

void Reflector::AdvanceTo(int64_t revision) {
  revision_ = std::max(revision_, revision);
}

void Reflector::CatchUp() {
  if (watch_in_flight_ && watch_is_catch_up_) return;
  catch_up_pending_ = true;
  if (call_in_flight_ || next_call_.isActive()) return;
  const auto now = steady_clock::now();
  const auto since =
      std::chrono::duration_cast<milliseconds>(now - last_extra_call_at_);
  if (since < kExtraCallGap) return next_call_.start(kExtraCallGap - since);
  last_extra_call_at_ = now;
  MakeNextCall();
}

void Reflector::CatchUpByList() {
  list_next_ = true;
  CatchUp();
}

// Makes the next call after `delay`, unless the reflector is passive and has
// nothing to catch up with.
void Reflector::ScheduleNextCall(milliseconds delay) {
  if (passive_ && !catch_up_pending_) return;
  if (delay > milliseconds(0)) return next_call_.start(delay);
  MakeNextCall();
}

void Reflector::MakeNextCall() {
  if (passive_ && !catch_up_pending_ && synced_) return;
  // Every instance probes an unreachable store several times a second; a single
  // reflector per instance is enough for that.
  const bool leader_probes = probe_leader_ != nullptr &&
                             probe_leader_->synced() &&
                             !probe_leader_->reachable() && !reachable_;
  if (leader_probes) return next_call_.start(kLeaderPoll);
  list_next_ ? List() : Watch();
}

void Reflector::List() {
  call_started_at_ = steady_clock::now();
  call_in_flight_ = true;
  source_.List(kind_, ObjectSource::Freshness::kLinearizable,
               [this](const auto& batch) { OnListed(batch); });
}

void Reflector::Watch() {
  // Guard: a call sent just before an unreachable store recovers may never be
  // answered. With the full wait it would time out seconds after the recovery,
  // and a configuration accepted in that time would come into force too late.
  const bool probe_only = !reachable_ || passive_;
  requested_wait_ = probe_only ? kProbeWatchWait : NormalWatchWait();
  call_started_at_ = steady_clock::now();
  call_in_flight_ = true;
  watch_in_flight_ = true;
  watch_is_catch_up_ = std::exchange(catch_up_pending_, false);
  source_.Watch(kind_, revision_, requested_wait_,
                [this, sequence = ++watch_sequence_,
                 from = revision_](const auto& batch) {
                  if (sequence == watch_sequence_) OnChanges(from, batch);
                });
}

milliseconds Reflector::NormalWatchWait() const {
  return watch_wait_ ? watch_wait_() : kDefaultWatchWait;
}

void Reflector::RestartWatch() {
  const auto now = steady_clock::now();
  if (now < last_extra_call_at_ + kExtraCallGap) return;
  last_extra_call_at_ = now;
  Watch();
}

void Reflector::OnPeerChange(int64_t revision) {
  peer_change_ = std::max(peer_change_, revision);
  const bool can_call = watch_in_flight_ || passive_;
  if (!can_call || peer_change_ <= revision_ || peer_timer_.isActive()) return;
  peer_timer_.start(passive_ ? kPassivePeerChangeDelay : kPeerChangeDelay);
}

// Guard: the loss of a long watch is noticed only when the watch should have
// ended. Long watches are started while peers send messages, because these
// messages report changes. When the messages stop, a watch is replaced once it
// has been open kMaxWatchOverrun longer than the wait of a watch started now.
void Reflector::CheckWatchOverdue() {
  if (!watch_in_flight_ || !reachable_ || passive_) return;
  const auto open_for = std::chrono::duration_cast<milliseconds>(
      steady_clock::now() - call_started_at_);
  if (open_for > NormalWatchWait() + kMaxWatchOverrun) RestartWatch();
}

milliseconds Reflector::OutageDuration() const {
  if (reachable_ || !synced_) return milliseconds(0);
  return std::chrono::duration_cast<milliseconds>(steady_clock::now() -
                                                  last_contact_at_);
}

void Reflector::RecordAnswer() {
  failures_ = 0;
  last_contact_at_ = last_answer_at_ = steady_clock::now();
  if (!std::exchange(reachable_, true)) events_.on_reachable(true, "answered");
}

void Reflector::OnListed(const utils::Result<SourceBatch>& batch) {
  call_in_flight_ = false;
  if (!batch) return OnError(batch.error());
  const milliseconds outage = OutageDuration();
  RecordAnswer();
  synced_ = true;
  list_next_ = false;
  catch_up_pending_ = false;
  AdvanceTo(batch.value().revision);
  events_.on_list(batch.value(), outage);
  ScheduleNextCall(milliseconds(0));
}

void Reflector::OnChanges(int64_t follows,
                          const utils::Result<SourceBatch>& batch) {
  call_in_flight_ = false;
  watch_in_flight_ = false;
  if (!batch) return OnError(batch.error());
  const milliseconds outage = OutageDuration();
  RecordAnswer();
  history_gone_count_ = 0;
  const SourceBatch& answer = batch.value();
  AdvanceTo(answer.revision);
  events_.on_changes({.follows = follows,
                      .revision = std::max(follows, answer.revision),
                      .objects = answer.objects},
                     outage);
  // Changes come in series (upstreams replaced one after the other, series of
  // settings writes). All changes within the delay are received with one call
  // instead of one call each.
  if (!answer.objects.empty()) early_watch_count_ = 0;
  ScheduleNextCall(answer.objects.empty() ? DelayAfterEmptyWatch()
                                          : kCoalesceDelay);
}

milliseconds Reflector::DelayAfterEmptyWatch() {
  const bool early =
      steady_clock::now() - call_started_at_ < requested_wait_ / 2;
  early_watch_count_ = early ? early_watch_count_ + 1 : 0;
  return DelayAfterUnproductive(early_watch_count_);
}

// Guard: a store that has no history for the revision of the list it has just
// returned would be called in a loop without the delay.
void Reflector::OnHistoryGone() {
  list_next_ = true;
  catch_up_pending_ = catch_up_pending_ || watch_is_catch_up_ || !synced_;
  ScheduleNextCall(DelayAfterUnproductive(++history_gone_count_));
}

void Reflector::OnError(const utils::Error& error) {
  if (error.code == utils::Errc::kStoreRevisionGone) return OnHistoryGone();
  ++failures_;
  catch_up_pending_ = catch_up_pending_ || watch_is_catch_up_;
  const bool was_reachable = std::exchange(reachable_, false);
  if (was_reachable || failures_ == 1) {
    events_.on_reachable(false, error.detail);
  }
  const auto call_duration = std::chrono::duration_cast<milliseconds>(
      steady_clock::now() - call_started_at_);
  const double jitter = DrawJitter();
  const milliseconds delay = RetryDelay(failures_, call_duration, jitter);
  if (!slow_retry_ || !synced_) return next_call_.start(delay);
  next_call_.start(std::max(delay, std::chrono::duration_cast<milliseconds>(
                                       kSlowRetryInterval * jitter)));
}

}  // namespace turmeric::store
