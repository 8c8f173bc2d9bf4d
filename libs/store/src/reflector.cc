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
/** Pause after a change before waiting for the next: well below the two
 * seconds in which a change must be in force. */
constexpr milliseconds kCoalesce{400};

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
    if (waiting_ && elsewhere_ > revision_) WatchAnew();
  });
  connect(&again_, &QTimer::timeout, this, [this] { CallAgain(); });
}

void Reflector::Start() { List(); }

void Reflector::CallAgain() {
  // A store that is away is asked by every instance several times a second; one
  // of its reflectors is enough for that.
  const bool lead_asks =
      lead_ != nullptr && lead_->synced() && !lead_->reachable() && !reachable_;
  if (lead_asks) return again_.start(kLeadCheck);
  list_next_ ? List() : Watch();
}

void Reflector::List() {
  called_at_ = steady_clock::now();
  source_.List(kind_, ObjectSource::Freshness::kLinearizable,
               [this](const auto& batch) { OnListed(batch); });
}

void Reflector::Watch() {
  // Guard: a call sent just before a silent store returns is never answered.
  // With the full wait it would be given up seconds after the return, and a
  // configuration accepted meanwhile would come into force too late.
  const milliseconds wait = reachable_ ? UsualWait() : kProbeWait;
  called_at_ = steady_clock::now();
  waiting_ = true;
  source_.Watch(kind_, revision_, wait,
                [this, number = ++watch_number_](const auto& batch) {
                  if (number == watch_number_) OnChanges(batch);
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
  if (!waiting_ || elsewhere_ <= revision_ || behind_.isActive()) return;
  behind_.start(kBehindFor);
}

// Guard: a long watch that is lost with a silent store shows only at its end.
// Long ones are begun while other instances are heard, which would tell of
// changes; once they are not, the watch must not go on for longer than usual.
void Reflector::CheckWait() {
  if (!waiting_ || !reachable_) return;
  const auto waited = std::chrono::duration_cast<milliseconds>(
      steady_clock::now() - called_at_);
  if (waited > UsualWait() + kWatchOverdue) WatchAnew();
}

void Reflector::NoteSeen(std::span<const SourceObject> objects) {
  for (const SourceObject& object : objects) {
    newest_change_ = std::max(newest_change_, object.revision);
  }
}

milliseconds Reflector::Outage() const {
  if (reachable_ || !synced_) return milliseconds(0);
  return std::chrono::duration_cast<milliseconds>(steady_clock::now() -
                                                  heard_at_);
}

void Reflector::Heard() {
  failures_ = 0;
  heard_at_ = steady_clock::now();
  if (!std::exchange(reachable_, true)) events_.on_reachable(true, "answered");
}

void Reflector::OnListed(const utils::Result<SourceBatch>& batch) {
  if (!batch) return OnError(batch.error());
  const milliseconds outage = Outage();
  Heard();
  synced_ = true;
  list_next_ = false;
  revision_ = batch.value().revision;
  NoteSeen(batch.value().objects);
  events_.on_list(batch.value().objects, outage);
  Watch();
}

void Reflector::OnChanges(const utils::Result<SourceBatch>& batch) {
  waiting_ = false;
  if (!batch) return OnError(batch.error());
  const milliseconds outage = Outage();
  Heard();
  revision_ = std::max(revision_, batch.value().revision);
  NoteSeen(batch.value().objects);
  for (const SourceObject& object : batch.value().objects) {
    events_.on_change(object, outage);
  }
  // Changes come in series (upstreams replaced one after the other, stores of
  // settings): what follows within the pause comes with one call instead of
  // one each.
  if (batch.value().objects.empty()) return Watch();
  again_.start(kCoalesce);
}

void Reflector::OnError(const utils::Error& error) {
  if (error.code == utils::Errc::kStoreRevisionGone) {
    list_next_ = true;
    return List();
  }
  ++failures_;
  const bool was_reachable = std::exchange(reachable_, false);
  if (was_reachable || failures_ == 1) {
    events_.on_reachable(false, error.detail);
  }
  const auto call_took = std::chrono::duration_cast<milliseconds>(
      steady_clock::now() - called_at_);
  again_.start(PauseAfterFailure(failures_, call_took, DrawSpread()));
}

}  // namespace turmeric::store
