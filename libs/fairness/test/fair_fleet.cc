#include "fair_fleet.h"

#include <algorithm>
#include <span>
#include <string>
#include <utility>

#include "turmeric/fairness/retry_after_excess.h"

namespace turmeric::fairness::test {

using std::chrono::milliseconds;

namespace {

constexpr int kInstances = 6;
constexpr size_t kUpstreams = 12;
constexpr size_t kSlots = 2;
constexpr size_t kQueue = 8;
/** The instances learn the work of a request before the competition. */
constexpr milliseconds kCalmTime{3000};
constexpr milliseconds kRunTime{12'000};
constexpr milliseconds kFailureAt{5000};
constexpr milliseconds kDetection{300};
constexpr milliseconds kDeadline{1500};
constexpr std::array<double, 6> kPerSecond = {240, 12, 12, 12, 12, 12};
constexpr double kCalmPerSecond = 12;
const std::string kService = "plain";

}  // namespace

Served FairResult::small() const {
  Served sum;
  for (size_t i = 1; i < organisations.size(); ++i) {
    sum.sent += organisations[i].sent;
    sum.answered += organisations[i].answered;
  }
  return sum;
}

double FairResult::worst() const {
  return std::ranges::min(std::span(organisations).subspan(1), {},
                          &Served::ratio)
      .ratio();
}

FairFleet::FairFleet(const FairRun& run)
    : run_(run),
      random_(run.seed),
      instances_(kInstances),
      upstreams_(kUpstreams) {}

int FairFleet::Owner() const {
  const bool known = failure_known_at_ && now_ >= *failure_known_at_;
  return known && failed_ == 2 ? 3 : 2;
}

int FairFleet::AnyAlive() {
  int instance = 0;
  do {
    instance = static_cast<int>(Draw() * kInstances);
  } while (!instances_[instance].alive);
  return instance;
}

bool FairFleet::HasShares(int instance) const {
  return run_.fair && instance >= run_.older_instances;
}

CapacityPart FairFleet::Part() const {
  return {.slots = static_cast<int>(kUpstreams * kSlots),
          .instances = kInstances};
}

void FairFleet::Arrive(const RequestPtr& request) {
  request->instance =
      run_.one_instance && request->organisation == 0 && instances_[0].alive
          ? 0
          : AnyAlive();
  if (HasShares(request->instance)) {
    Instance& instance = instances_[request->instance];
    request->work = instance.work.work();
    const auto refusal = instance.share.OnRequest(
        std::to_string(request->organisation), request->work, now_);
    if (refusal) {
      if (!std::exchange(request->returned, true)) {
        returning_.emplace(
            now_ + RetryAfterExcess(refusal->demand, refusal->level, Draw()),
            request);
      }
      return;
    }
    request->metered = true;
  }
  Send(request);
}

void FairFleet::Send(const RequestPtr& request) {
  Instance& instance = instances_[request->instance];
  size_t best = 0;
  double best_cost = 1e9;
  for (size_t i = 0; i < kUpstreams; ++i) {
    const double cost = instance.own[i] + instance.reported[i] + Draw() / 2;
    if (cost < best_cost) best = i;
    best_cost = std::min(best_cost, cost);
  }
  Upstream& upstream = upstreams_[best];
  open_.push_back(request);
  if (upstream.waiting.size() >= kQueue) return End(request, false);
  ++instance.own[best];
  upstream.waiting.push_back(request);
}

void FairFleet::End(const RequestPtr& request, bool answered) {
  if (std::exchange(request->ended, true)) return;
  Instance& instance = instances_[request->instance];
  if (request->metered) {
    instance.share.OnEnd(request->work, answered, now_);
    if (answered) instance.work.Note(now_ - request->sent);
  }
  if (!answered || !instance.alive || !request->counts) return;
  ++result_.organisations[request->organisation].answered;
  if (now_ < end_) ++answered_by_end_;
}

void FairFleet::Step(Upstream& upstream, size_t index) {
  std::erase_if(upstream.running, [&](const auto& run) {
    if (run.first > now_) return false;
    Instance& instance = instances_[run.second->instance];
    --instance.own[index];
    instance.reported[index] = upstream.load() - 1;
    End(run.second, true);
    return true;
  });
  while (upstream.running.size() < kSlots && !upstream.waiting.empty()) {
    const milliseconds time(static_cast<int64_t>(160 + 80 * Draw()));
    upstream.running.emplace_back(now_ + time, upstream.waiting.front());
    upstream.waiting.pop_front();
  }
}

void FairFleet::Tick(int index) {
  Instance& instance = instances_[index];
  if (!instance.alive || !HasShares(index)) return;
  instance.share.Update(Part(), now_);
  if (!instance.share.IsUnderPressure(Part(), now_)) return;
  Message message{
      .from = index,
      .to = Owner(),
      .report = instance.share.MakeReport(kService, Part().slots, now_),
      .plan = {}};
  messages_.emplace(now_ + run_.message_delay, std::move(message));
}

void FairFleet::Deliver(Message message) {
  Instance& to = instances_[message.to];
  const bool is_local = message.from == message.to;
  const bool cut = to.cut_off || instances_[message.from].cut_off;
  if (!to.alive || !HasShares(message.to)) return;
  if (!is_local && (cut || Draw() < run_.lost)) return;
  if (message.plan) return to.share.OnPlan(std::move(*message.plan), now_);
  if (!to.coordinator) to.coordinator.emplace();
  to.coordinator->OnReport(std::to_string(message.from),
                           std::move(*message.report), now_);
  const SharePlan* plan = to.coordinator->Plan(now_);
  if (plan == nullptr) return;
  messages_.emplace(
      now_ + run_.message_delay,
      Message{
          .from = message.to, .to = message.from, .report = {}, .plan = *plan});
}

void FairFleet::Fail() {
  const bool kill = run_.killed >= 0;
  failed_ = kill ? run_.killed : run_.cut_off;
  if (failed_ == FairRun::kCoordinator) failed_ = Owner();
  failure_known_at_ = now_ + kDetection;
  instances_[failed_].alive = !kill;
  instances_[failed_].cut_off = !kill;
}

FairResult FairFleet::Run() {
  const Clock::time_point start = now_ + kCalmTime;
  end_ = start + kRunTime;
  for (; now_ < end_ + kDeadline; now_ += milliseconds(1)) {
    const auto since = now_ - start;
    const bool fails = run_.killed >= 0 || run_.cut_off >= 0;
    if (fails && since == kFailureAt) Fail();
    for (size_t i = 0; i < kPerSecond.size() && since < kRunTime; ++i) {
      const bool calm = since < milliseconds(0);
      if (Draw() >= (calm ? kCalmPerSecond : kPerSecond[i]) / 1000) continue;
      auto request = std::make_shared<Request>();
      request->counts = !calm;
      if (!calm) ++result_.organisations[i].sent;
      request->organisation = static_cast<int>(i);
      request->sent = now_;
      Arrive(request);
    }
    while (!returning_.empty() && returning_.begin()->first <= now_) {
      const RequestPtr request = returning_.begin()->second;
      returning_.erase(returning_.begin());
      request->sent = now_;
      Arrive(request);
    }
    while (!open_.empty() &&
           (open_.front()->ended || now_ - open_.front()->sent > kDeadline)) {
      End(open_.front(), false);
      open_.pop_front();
    }
    for (size_t i = 0; i < kUpstreams; ++i) Step(upstreams_[i], i);
    for (int i = 0; i < kInstances; ++i) {
      const auto phase = milliseconds(33 * i);
      if ((since + phase) % ServiceShare::kReportInterval == milliseconds(0)) {
        Tick(i);
      }
    }
    while (!messages_.empty() && messages_.begin()->first <= now_) {
      Message message = std::move(messages_.begin()->second);
      messages_.erase(messages_.begin());
      Deliver(std::move(message));
    }
  }
  result_.per_s =
      answered_by_end_ / std::chrono::duration<double>(kRunTime).count();
  return result_;
}

}  // namespace turmeric::fairness::test
