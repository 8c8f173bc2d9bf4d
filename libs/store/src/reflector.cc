#include "turmeric/store/reflector.h"

#include <algorithm>
#include <random>
#include <utility>

#include "turmeric/store/backoff.h"

namespace turmeric::store {

using std::chrono::milliseconds;
using std::chrono::steady_clock;

namespace {

/** Longest wait of one watch. A connection can go silent without an end;
 * the next watch then shows it. Short enough that a change is in force
 * within five seconds of such a loss, long enough to be a few calls a
 * minute. */
constexpr milliseconds kWatchWait{3000};
/** How much later than others a change may come before our watch counts as
 * lost: a few round trips and a turn of a slow processor. */
constexpr milliseconds kBehindFor{200};
/** Least time between two watches that are begun for being behind: what others
 * say must not make an instance call without end. */
constexpr milliseconds kAnewPause{1000};
/** A watch ends so much later than it was asked to wait, at most. */
constexpr milliseconds kWatchOverdue{500};
/** How often a reflector looks whether its lead has reached the store. */
constexpr milliseconds kLeadCheck{50};
/** Wait of a watch while the store is not answering: it only asks whether
 * the store is back, and its loss must cost little. */
constexpr milliseconds kProbeWait{100};
/** How much later than others a change may come another way before the store
 * is asked for it: relays pass it on as soon as one of them has seen it. */
constexpr milliseconds kBehindWhileResting{1000};
/** Time between two calls to a store that is away, for one of many that rely
 * on others to find out that it is back. */
constexpr milliseconds kPatientPeriod{2500};
/** Pause after a change before waiting for the next: well below the two
 * seconds in which a change must be in force. */
constexpr milliseconds kCoalesce{400};

/** Pause after a second answer in a row that helps nothing, doubled with each
 * further one: an answer that comes at once must not be asked for in a loop. */
constexpr milliseconds kFirstUselessPause{100};
constexpr int kMostUselessDoublings = 6;

/** @param times answers in a row that helped nothing. @return the pause. */
milliseconds PauseAfterUseless(int times) {
  if (times < 2) return milliseconds(0);
  return kFirstUselessPause * (1 << std::min(times - 2, kMostUselessDoublings));
}

double DrawSpread() {
  static std::minstd_rand engine{std::random_device{}()};
  return std::uniform_real_distribution<double>(0.6, 1.2)(engine);
}

}  // namespace

Reflector::Reflector(ObjectSource& source, std::string kind,
                     ReflectorEvents events)
    : source_(source), kind_(std::move(kind)), events_(std::move(events)) {
  again_.setSingleShot(true);
  behind_.setSingleShot(true);
  connect(&behind_, &QTimer::timeout, this, [this] {
    if (elsewhere_ <= revision_) return;
    if (waiting_) return WatchAnew();
    if (resting_) CatchUp();
  });
  connect(&again_, &QTimer::timeout, this, [this] { CallAgain(); });
}

void Reflector::Start() { List(); }

void Reflector::Rest(bool resting) {
  if (std::exchange(resting_, resting) == resting || !synced_) return;
  if (resting) return;
  // What failed before it rested says nothing of the store now, and counted as
  // an outage it would keep upstreams that have left.
  reachable_ = true;
  failures_ = 0;
  heard_at_ = steady_clock::now();
  if (!calling_ && !again_.isActive()) CallAgain();
}

void Reflector::set_patient(bool patient) {
  const bool was_patient = std::exchange(patient_, patient);
  if (was_patient && !patient && again_.isActive()) again_.start(kLeadCheck);
}

void Reflector::AdvanceTo(int64_t revision) {
  revision_ = std::max(revision_, revision);
}

void Reflector::CatchUp() {
  if (waiting_ && was_catching_up_) return;
  catch_up_ = true;
  if (calling_ || again_.isActive()) return;
  const auto now = steady_clock::now();
  const auto since = std::chrono::duration_cast<milliseconds>(now - anew_at_);
  if (since < kAnewPause) return again_.start(kAnewPause - since);
  anew_at_ = now;
  CallAgain();
}

void Reflector::CatchUpByList() {
  list_next_ = true;
  CatchUp();
}

// Begins the next call after a pause, unless there is none to make.
void Reflector::Continue(milliseconds pause) {
  if (resting_ && !catch_up_) return;
  if (pause > milliseconds(0)) return again_.start(pause);
  CallAgain();
}

void Reflector::CallAgain() {
  if (resting_ && !catch_up_ && synced_) return;
  // A store that is away is asked by every instance several times a second; one
  // of its reflectors is enough for that.
  const bool lead_asks =
      lead_ != nullptr && lead_->synced() && !lead_->reachable() && !reachable_;
  if (lead_asks) return again_.start(kLeadCheck);
  list_next_ ? List() : Watch();
}

void Reflector::List() {
  called_at_ = steady_clock::now();
  calling_ = true;
  source_.List(kind_, ObjectSource::Freshness::kLinearizable,
               [this](const auto& batch) { OnListed(batch); });
}

void Reflector::Watch() {
  // Guard: a call sent just before a silent store returns is never answered.
  // With the full wait it would be given up seconds after the return, and a
  // configuration accepted meanwhile would come into force too late.
  const bool only_asks = !reachable_ || resting_;
  wait_ = only_asks ? kProbeWait : UsualWait();
  called_at_ = steady_clock::now();
  calling_ = true;
  waiting_ = true;
  was_catching_up_ = std::exchange(catch_up_, false);
  source_.Watch(
      kind_, revision_, wait_,
      [this, number = ++watch_number_, from = revision_](const auto& batch) {
        if (number == watch_number_) OnChanges(from, batch);
      });
}

milliseconds Reflector::UsualWait() const {
  return watch_wait_ ? watch_wait_() : kWatchWait;
}

void Reflector::WatchAnew() {
  const auto now = steady_clock::now();
  if (now < anew_at_ + kAnewPause) return;
  anew_at_ = now;
  Watch();
}

void Reflector::NoteChangeElsewhere(int64_t revision) {
  elsewhere_ = std::max(elsewhere_, revision);
  const bool could_act = waiting_ || resting_;
  if (!could_act || elsewhere_ <= revision_ || behind_.isActive()) return;
  behind_.start(resting_ ? kBehindWhileResting : kBehindFor);
}

// Guard: a long watch that is lost with a silent store shows only at its end.
// Long ones are begun while other instances are heard, which would tell of
// changes; once they are not, the watch must not go on for longer than usual.
void Reflector::CheckWait() {
  if (!waiting_ || !reachable_ || resting_) return;
  const auto waited = std::chrono::duration_cast<milliseconds>(
      steady_clock::now() - called_at_);
  if (waited > UsualWait() + kWatchOverdue) WatchAnew();
}

milliseconds Reflector::Outage() const {
  if (reachable_ || !synced_) return milliseconds(0);
  return std::chrono::duration_cast<milliseconds>(steady_clock::now() -
                                                  heard_at_);
}

void Reflector::Heard() {
  failures_ = 0;
  heard_at_ = answered_at_ = steady_clock::now();
  if (!std::exchange(reachable_, true)) events_.on_reachable(true, "answered");
}

void Reflector::OnListed(const utils::Result<SourceBatch>& batch) {
  calling_ = false;
  if (!batch) return OnError(batch.error());
  const milliseconds outage = Outage();
  Heard();
  synced_ = true;
  list_next_ = false;
  catch_up_ = false;
  AdvanceTo(batch.value().revision);
  events_.on_list(batch.value(), outage);
  Continue(milliseconds(0));
}

void Reflector::OnChanges(int64_t follows,
                          const utils::Result<SourceBatch>& batch) {
  calling_ = false;
  waiting_ = false;
  if (!batch) return OnError(batch.error());
  const milliseconds outage = Outage();
  Heard();
  gone_ = 0;
  const SourceBatch& answer = batch.value();
  AdvanceTo(answer.revision);
  events_.on_changes({.follows = follows,
                      .revision = std::max(follows, answer.revision),
                      .objects = answer.objects},
                     outage);
  // Changes come in series (upstreams replaced one after the other, stores of
  // settings): what follows within the pause comes with one call instead of
  // one each.
  if (!answer.objects.empty()) early_ = 0;
  Continue(answer.objects.empty() ? PauseAfterNothing() : kCoalesce);
}

milliseconds Reflector::PauseAfterNothing() {
  const bool early = steady_clock::now() - called_at_ < wait_ / 2;
  early_ = early ? early_ + 1 : 0;
  return PauseAfterUseless(early_);
}

// Guard: a store that has no history for what a list has just told would be
// called in a loop.
void Reflector::OnHistoryGone() {
  list_next_ = true;
  catch_up_ = catch_up_ || was_catching_up_ || !synced_;
  Continue(PauseAfterUseless(++gone_));
}

void Reflector::OnError(const utils::Error& error) {
  if (error.code == utils::Errc::kStoreRevisionGone) return OnHistoryGone();
  ++failures_;
  catch_up_ = catch_up_ || was_catching_up_;
  const bool was_reachable = std::exchange(reachable_, false);
  if (was_reachable || failures_ == 1) {
    events_.on_reachable(false, error.detail);
  }
  const auto call_took = std::chrono::duration_cast<milliseconds>(
      steady_clock::now() - called_at_);
  const double spread = DrawSpread();
  const milliseconds pause = PauseAfterFailure(failures_, call_took, spread);
  if (!patient_ || !synced_) return again_.start(pause);
  again_.start(std::max(pause, std::chrono::duration_cast<milliseconds>(
                                   kPatientPeriod * spread)));
}

}  // namespace turmeric::store
