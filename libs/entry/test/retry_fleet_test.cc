#include <algorithm>
#include <catch2/catch.hpp>
#include <chrono>
#include <functional>
#include <limits>
#include <map>
#include <optional>
#include <random>
#include <span>
#include <vector>

#include "turmeric/entry/retry_budgets.h"
#include "turmeric/entry/retry_credit.h"

using namespace std::chrono_literals;  // NOLINT(google-build-using-namespace)
using std::chrono::milliseconds;
using turmeric::entry::kPieceCreditWeight;
using turmeric::entry::RetryBudgets;
using turmeric::routing::Clock;
using turmeric::routing::RetryBudgetLimits;

namespace {

constexpr auto kService = "service";
constexpr milliseconds kStep{20};
constexpr auto kWindow = 10s;
/** Longest latency of a request to its instance and of a retry to its upstream.
 */
constexpr int kMaxLatencyMs = 500;
/** Intervals between reads of the list: the first reads after the start of an
 * instance, and later ones. */
constexpr auto kEarlyReadInterval = 1500ms;
constexpr int kEarlyReads = 4;
constexpr auto kLateReadInterval = 10s;
constexpr int kMaxListAgeMs = 3000;

/** Mean number of simulation steps between two faults of a kind; 0: never. */
struct Faults {
  int kill = 0;          ///< One instance is killed.
  int kill_all = 0;      ///< All instances are killed at once.
  int cut = 0;           ///< One instance cannot read the list, for up to 40 s.
  int store_outage = 0;  ///< No instance can read the list, for up to 20 s.
  int join = 0;          ///< An instance joins.
  int shift = 0;         ///< Traffic moves to another part of the fleet.
  int burst = 0;         ///< Traffic grows up to eightfold or stops.
  int recover = 0;       ///< The service recovers or begins to fail.
};

struct Instance {
  Instance(const RetryBudgetLimits& limits, bool first)
      : budgets(limits, first) {}

  RetryBudgets budgets;
  Clock::time_point down_until;
  Clock::time_point cut_until;
  Clock::time_point next_read;
  Clock::time_point entered_at;  ///< When it was added to the list.
  bool entered = false;
  int reads = 0;
  int starts = 0;
};

/** Which instance calls the service. */
enum class CallPattern {
  kByRequestInstance,  ///< The instance that has the request.
  kByOwner,  ///< One instance, which collects the pieces (units of stage
             ///< work) of all instances.
};

/** Simulates a fleet of instances that calls one service; at times the service
 * fails all requests. */
class FleetSimulation {
 public:
  FleetSimulation(uint32_t seed, size_t instances, RetryBudgetLimits limits,
                  Faults faults,
                  CallPattern pattern = CallPattern::kByRequestInstance)
      : random_(seed), limits_(limits), faults_(faults), pattern_(pattern) {
    for (size_t i = 0; i < instances; ++i) Join(true);
  }

  void Run(milliseconds time) {
    const auto end = now_ + time;
    for (; now_ < end; now_ += kStep) {
      DrawFaults();
      std::ranges::for_each(fleet_, [this](Instance& i) { ReadList(i); });
      const int requests = Draw(2 * rate_ + 1);
      for (int i = 0; i < requests; ++i) Request();
      RunScheduled();
    }
  }

  size_t retries() const { return retries_.size(); }

  /** @return retries above the allowed number in the worst window. */
  double Excess() {
    std::ranges::sort(sent_);
    std::ranges::sort(retries_);
    double excess = std::numeric_limits<double>::lowest();
    // The worst window begins with a retry.
    for (const Clock::time_point from : retries_) {
      const auto requests =
          std::max({Count(sent_, from), Count(sent_, from - kWindow),
                    Count(sent_, from - kWindow / 2)});
      const double allowed =
          limits_.ratio * static_cast<double>(requests) + limits_.slack;
      excess = std::max(excess,
                        static_cast<double>(Count(retries_, from)) - allowed);
    }
    return excess;
  }

 private:
  using TimePoints = std::vector<Clock::time_point>;

  static std::ptrdiff_t Count(const TimePoints& time_points,
                              Clock::time_point from) {
    return std::ranges::lower_bound(time_points, from + kWindow) -
           std::ranges::lower_bound(time_points, from);
  }
  int Draw(int below) {
    return static_cast<int>(random_() % static_cast<uint32_t>(below));
  }
  bool Occurs(int one_in) { return one_in > 0 && Draw(one_in) == 0; }
  Instance& AnyInstance() {
    return fleet_[static_cast<size_t>(Draw(static_cast<int>(fleet_.size())))];
  }

  void Join(bool first_start) {
    fleet_.emplace_back(limits_, first_start);
    fleet_.back().next_read = now_;
  }

  void Kill(Instance& instance) {
    instance.budgets = RetryBudgets(limits_);
    ++instance.starts;
    instance.down_until = now_ + (200 + Draw(800)) * 1ms;
    instance.next_read = instance.down_until;
    instance.reads = 0;
  }

  void DrawFaults() {
    if (Occurs(faults_.kill)) Kill(AnyInstance());
    if (Occurs(faults_.kill_all)) {
      std::ranges::for_each(fleet_, [this](Instance& i) { Kill(i); });
    }
    if (Occurs(faults_.cut)) AnyInstance().cut_until = now_ + Draw(40000) * 1ms;
    if (Occurs(faults_.store_outage)) {
      store_outage_until_ = now_ + Draw(20000) * 1ms;
    }
    if (Occurs(faults_.join)) Join(false);
    if (Occurs(faults_.shift)) first_ = static_cast<size_t>(Draw(4));
    if (Occurs(faults_.burst)) rate_ = Draw(3) * Draw(9);
    if (Occurs(faults_.recover)) fails_ = !fails_;
  }

  void ReadList(Instance& instance) {
    if (now_ < instance.next_read) return;
    instance.next_read =
        now_ + (++instance.reads <= kEarlyReads ? kEarlyReadInterval
                                                : kLateReadInterval);
    if (now_ < instance.cut_until || now_ < store_outage_until_) return;
    const auto as_of = now_ - Draw(kMaxListAgeMs) * 1ms;
    const auto listed = std::ranges::count_if(fleet_, [&](const Instance& i) {
      return i.entered && i.entered_at <= as_of;
    });
    const bool is_listed = instance.entered && instance.entered_at <= as_of;
    if (!instance.entered) {
      instance.entered = true;
      instance.entered_at = now_;
    }
    instance.budgets.OnFleetList(
        {.instances = static_cast<int>(listed) + (is_listed ? 0 : 1),
         .self_listed = is_listed},
        now_);
  }

  void Request() {
    sent_.push_back(now_);
    // Half of the fleet receives no requests until the traffic moves.
    const size_t half = std::max<size_t>(1, fleet_.size() / 2);
    const size_t first = first_ * half / 2;
    const size_t at =
        (first + static_cast<size_t>(Draw(static_cast<int>(half)))) %
        fleet_.size();
    Schedule(Draw(kMaxLatencyMs) * 1ms, [this, at] { Arrive(at); });
  }

  void Arrive(size_t at) {
    if (now_ < fleet_[at].down_until) return;
    if (pattern_ == CallPattern::kByOwner) return ArrivePiece(at);
    fleet_[at].budgets.OnRequest(kService, now_);
    if (fails_) Retry(at, fleet_[at].starts, 3);
  }

  /** A piece earns half its credit at the instance that has the request and
   * half at the owner. The owner retries failed calls. The instance with the
   * request retries pieces that the owner had when it ended, and restarted
   * stages. */
  void ArrivePiece(size_t at) {
    const size_t owner = Owner();
    fleet_[at].budgets.OnRequest(kService, now_, kPieceCreditWeight);
    fleet_[owner].budgets.OnRequest(kService, now_, kPieceCreditWeight);
    if (fails_) Retry(owner, fleet_[owner].starts, 2);
    const int start = fleet_[at].starts;
    const int owner_start = fleet_[owner].starts;
    Schedule(Draw(2000) * 1ms, [this, at, start, owner, owner_start] {
      const bool owner_ended = fleet_[owner].starts != owner_start;
      if (owner_ended || fails_) Retry(at, start, 1);
    });
  }
  size_t Owner() const {
    const auto running = std::ranges::find_if(
        fleet_, [this](const Instance& i) { return now_ >= i.down_until; });
    return running == fleet_.end()
               ? 0
               : static_cast<size_t>(std::distance(fleet_.begin(), running));
  }

  void Retry(size_t at, int start, int left) {
    Instance& instance = fleet_[at];
    if (instance.starts != start || left == 0) return;
    if (!instance.budgets.TrySpend(kService, now_)) return;
    const auto latency = Draw(kMaxLatencyMs) * 1ms;
    retries_.push_back(now_ + latency);
    Schedule(latency, [this, at, start, left] {
      if (fails_) Retry(at, start, left - 1);
    });
  }

  void Schedule(milliseconds delay, std::function<void()> action) {
    pending_.emplace(now_ + delay, std::move(action));
  }
  void RunScheduled() {
    while (!pending_.empty() && pending_.begin()->first <= now_) {
      const auto action = std::move(pending_.begin()->second);
      pending_.erase(pending_.begin());
      action();
    }
  }

  std::mt19937 random_;
  RetryBudgetLimits limits_;
  Faults faults_;
  CallPattern pattern_;
  Clock::time_point now_{1h};
  Clock::time_point store_outage_until_;
  std::vector<Instance> fleet_;
  std::multimap<Clock::time_point, std::function<void()>> pending_;
  TimePoints sent_;
  TimePoints retries_;
  int rate_ = 2;
  size_t first_ = 0;
  bool fails_ = true;
};

constexpr RetryBudgetLimits kSmallFleetLimits{
    .ratio = 0.2, .slack = 54, .window = kWindow};

/** @return the largest excess over 12 seeds. */
double WorstExcess(size_t instances, RetryBudgetLimits limits, Faults faults) {
  double worst = std::numeric_limits<double>::lowest();
  for (uint32_t seed = 1; seed <= 12; ++seed) {
    FleetSimulation simulation(seed, instances, limits, faults);
    simulation.Run(90s);
    REQUIRE(simulation.retries() > 0);
    worst = std::max(worst, simulation.Excess());
  }
  return worst;
}

}  // namespace

// Guards against an exceeded budget when an instance is killed and restarted
// several times within one window, and each process spends a whole share.
TEST_CASE("a fleet whose instances restart often keeps the retry budget") {
  REQUIRE(WorstExcess(7, kSmallFleetLimits,
                      {.kill_all = 150, .recover = 400}) <= 0);
  REQUIRE(WorstExcess(7, kSmallFleetLimits, {.kill = 20}) <= 0);
  REQUIRE(WorstExcess(60, kSmallFleetLimits, {.kill = 3, .kill_all = 300}) <=
          0);
}

// Guards against shares of the slack that are too large because they derive
// from a list without some instances: not read yet, stale, or older than a
// join.
TEST_CASE(
    "a fleet that grows during outages of its list keeps the retry budget") {
  REQUIRE(WorstExcess(3, kSmallFleetLimits, {.join = 60}) <= 0);
  REQUIRE(WorstExcess(3, kSmallFleetLimits, {.cut = 40, .join = 60}) <= 0);
  REQUIRE(WorstExcess(7, kSmallFleetLimits,
                      {.kill = 60, .store_outage = 900, .join = 90}) <= 0);
}

// Guards against an exceeded budget when traffic moves from one instance to the
// next and each in turn spends the allowance of its own window.
TEST_CASE("traffic that moves between instances keeps the retry budget") {
  REQUIRE(WorstExcess(8, kSmallFleetLimits, {.shift = 200, .recover = 400}) <=
          0);
  REQUIRE(WorstExcess(40, kSmallFleetLimits, {.shift = 400, .burst = 300}) <=
          0);
}

// Guards against combinations of these faults, for several bounds and fleet
// sizes.
TEST_CASE("all faults together keep the retry budget") {
  const Faults all{.kill = 40,
                   .kill_all = 500,
                   .cut = 100,
                   .store_outage = 1500,
                   .join = 300,
                   .shift = 300,
                   .burst = 400,
                   .recover = 400};
  for (const size_t instances : {1, 2, 7, 30, 100}) {
    for (const double slack : {0.0, 10.0, 54.0, 400.0}) {
      CAPTURE(instances, slack);
      const RetryBudgetLimits limits{
          .ratio = 0.2, .slack = slack, .window = kWindow};
      for (const CallPattern pattern :
           {CallPattern::kByRequestInstance, CallPattern::kByOwner}) {
        double worst = std::numeric_limits<double>::lowest();
        for (uint32_t seed = 1; seed <= 6; ++seed) {
          FleetSimulation simulation(seed, instances, limits, all, pattern);
          simulation.Run(90s);
          worst = std::max(worst, simulation.Excess());
        }
        REQUIRE(worst <= 0);
      }
    }
  }
}

// Guards against a bound that is kept only because nothing is retried.
TEST_CASE("most of the retry budget is spent while all requests fail") {
  FleetSimulation simulation(1, 7, kSmallFleetLimits, {});
  simulation.Run(90s);
  // Two requests per step on average, plus the slack.
  const double allowed_in_90_s =
      0.2 * 2 * (90s / kStep) + kSmallFleetLimits.slack;
  REQUIRE(static_cast<double>(simulation.retries()) > 0.6 * allowed_in_90_s);
}
