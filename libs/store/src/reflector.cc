#include "turmeric/store/reflector.h"

#include <algorithm>
#include <random>
#include <utility>

namespace turmeric::store {

using std::chrono::milliseconds;
using std::chrono::steady_clock;

namespace {

double DrawJitter() {
  static std::minstd_rand engine{std::random_device{}()};
  return std::uniform_real_distribution<double>(0.6, 1.2)(engine);
}

}  // namespace

Reflector::Reflector(ObjectSource& source, std::string kind,
                     ReflectorEvents events)
    : source_(source), kind_(std::move(kind)), events_(std::move(events)) {
  next_decision_.setSingleShot(true);
  connect(&next_decision_, &QTimer::timeout, this, [this] { MakeDueCalls(); });
}

void Reflector::Start() {
  schedule_.Start();
  MakeDueCalls();
}

void Reflector::SetPassive(bool passive, steady_clock::time_point heard_at) {
  schedule_.SetPassive(passive, heard_at);
  MakeDueCalls();
}

void Reflector::set_slow_retry(bool slow) {
  schedule_.set_slow_retry(slow);
  MakeDueCalls();
}

void Reflector::AdvanceTo(int64_t revision) {
  schedule_.AdvanceTo(revision, steady_clock::now());
}

void Reflector::CatchUp(int64_t revision) {
  schedule_.RequireUpTo(revision, steady_clock::now());
  MakeDueCalls();
}

void Reflector::CatchUpByList(int64_t revision) {
  schedule_.RequireList();
  CatchUp(revision);
}

void Reflector::OnPeerChange(int64_t revision) {
  schedule_.OnPeerChange(revision, steady_clock::now());
  MakeDueCalls();
}

CallSchedule::Situation Reflector::CurrentSituation() const {
  CallSchedule::Situation situation;
  if (watch_wait_) situation.watch_wait = watch_wait_();
  situation.leader_probes =
      probe_leader_ != nullptr && probe_leader_->schedule_.probes();
  return situation;
}

void Reflector::MakeDueCalls() {
  const auto now = steady_clock::now();
  if (const auto call = schedule_.TakeCall(CurrentSituation(), now)) {
    Make(*call);
  }
  const auto next = schedule_.NextDecisionAt(now);
  if (!next) return next_decision_.stop();
  next_decision_.start(
      std::max(milliseconds(1), std::chrono::ceil<milliseconds>(*next - now)));
}

void Reflector::Make(const CallSchedule::Call& call) {
  if (call.is_list) {
    return source_.List(
        kind_, ObjectSource::Freshness::kLinearizable,
        [this, call](const auto& batch) { OnListed(call, batch); });
  }
  source_.Watch(kind_, call.after, call.wait,
                [this, call](const auto& batch) { OnWatched(call, batch); });
}

void Reflector::OnListed(const CallSchedule::Call& call,
                         const utils::Result<SourceBatch>& batch) {
  if (!batch) return OnFailed(call, batch.error());
  const auto outcome =
      schedule_.OnListed(call, batch.value().revision, steady_clock::now());
  if (!outcome.is_current) return;
  if (outcome.reachable_changed) events_.on_reachable(true, "answered");
  events_.on_list(batch.value(), outcome.outage);
  MakeDueCalls();
}

void Reflector::OnWatched(const CallSchedule::Call& call,
                          const utils::Result<SourceBatch>& batch) {
  if (!batch) return OnFailed(call, batch.error());
  const SourceBatch& answer = batch.value();
  const auto outcome = schedule_.OnWatched(
      call, answer.revision, !answer.objects.empty(), steady_clock::now());
  if (!outcome.is_current) return;
  if (outcome.reachable_changed) events_.on_reachable(true, "answered");
  events_.on_changes({.follows = call.after,
                      .revision = std::max(call.after, answer.revision),
                      .objects = answer.objects},
                     outcome.outage);
  MakeDueCalls();
}

void Reflector::OnFailed(const CallSchedule::Call& call,
                         const utils::Error& error) {
  const auto outcome =
      schedule_.OnFailed(call, error.code, DrawJitter(), steady_clock::now());
  if (outcome.reachable_changed) events_.on_reachable(false, error.detail);
  MakeDueCalls();
}

}  // namespace turmeric::store
