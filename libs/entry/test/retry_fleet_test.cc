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
using turmeric::entry::kPieceWeight;
using turmeric::entry::RetryBudgets;
using turmeric::routing::Clock;
using turmeric::routing::RetryBudgetLimits;

namespace {

constexpr auto kService = "service";
constexpr milliseconds kStep{20};
constexpr auto kWindow = 10s;
/** Of a request to the instance, and of a repeat to its upstream. */
constexpr int kLatestMs = 500;
/** The list is read so often while an instance starts, and later. */
constexpr auto kEarlyRead = 1500ms;
constexpr int kEarlyReads = 4;
constexpr auto kLateRead = 10s;
constexpr int kStalestListMs = 3000;

/** How often things happen, each in so many steps of the fleet; 0: never. */
struct Troubles {
  int kill = 0;       ///< Of one instance.
  int kill_all = 0;   ///< Of all at once.
  int cut = 0;        ///< Of one instance from the list, for up to 40 s.
  int store_off = 0;  ///< For all, for up to 20 s.
  int join = 0;       ///< Another instance.
  int shift = 0;      ///< Traffic goes to another part of the fleet.
  int burst = 0;      ///< Traffic grows to eight times, or falls to none.
  int recover = 0;    ///< The service, or it begins to fail again.
};

struct Instance {
  Instance(const RetryBudgetLimits& limits, bool first)
      : budgets(limits, first) {}

  RetryBudgets budgets;
  Clock::time_point away_till;
  Clock::time_point cut_till;
  Clock::time_point next_read;
  Clock::time_point entered_at;  ///< In the list.
  bool entered = false;
  int reads = 0;
  int starts = 0;
};

/** How a service is called. */
enum class Calls {
  kByEntry,  ///< By the instance that has the request.
  kByOwner,  ///< As pieces of stages, which one instance collects for all.
};

/** A fleet before one service that fails all its requests for a time. */
class World {
 public:
  World(uint32_t seed, size_t instances, RetryBudgetLimits limits,
        Troubles troubles, Calls calls = Calls::kByEntry)
      : random_(seed), limits_(limits), troubles_(troubles), calls_(calls) {
    for (size_t i = 0; i < instances; ++i) Join(true);
  }

  void Run(milliseconds time) {
    const auto end = now_ + time;
    for (; now_ < end; now_ += kStep) {
      DrawTroubles();
      std::ranges::for_each(fleet_, [this](Instance& i) { ReadList(i); });
      const int requests = Draw(2 * rate_ + 1);
      for (int i = 0; i < requests; ++i) Request();
      Deliver();
    }
  }

  size_t repeats() const { return repeats_.size(); }

  /** @return repeats above what is allowed, in the worst window. */
  double Excess() {
    std::ranges::sort(sent_);
    std::ranges::sort(repeats_);
    double excess = std::numeric_limits<double>::lowest();
    // A window is worst where it begins with a repeat.
    for (const Clock::time_point from : repeats_) {
      const auto most =
          std::max({Count(sent_, from), Count(sent_, from - kWindow),
                    Count(sent_, from - kWindow / 2)});
      const double allowed =
          limits_.ratio * static_cast<double>(most) + limits_.slack;
      excess = std::max(excess,
                        static_cast<double>(Count(repeats_, from)) - allowed);
    }
    return excess;
  }

 private:
  using Times = std::vector<Clock::time_point>;

  static std::ptrdiff_t Count(const Times& times, Clock::time_point from) {
    return std::ranges::lower_bound(times, from + kWindow) -
           std::ranges::lower_bound(times, from);
  }
  int Draw(int below) {
    return static_cast<int>(random_() % static_cast<uint32_t>(below));
  }
  bool Happens(int one_in) { return one_in > 0 && Draw(one_in) == 0; }
  Instance& Any() {
    return fleet_[static_cast<size_t>(Draw(static_cast<int>(fleet_.size())))];
  }

  void Join(bool first_start) {
    fleet_.emplace_back(limits_, first_start);
    fleet_.back().next_read = now_;
  }

  void Kill(Instance& instance) {
    instance.budgets = RetryBudgets(limits_);
    ++instance.starts;
    instance.away_till = now_ + (200 + Draw(800)) * 1ms;
    instance.next_read = instance.away_till;
    instance.reads = 0;
  }

  void DrawTroubles() {
    if (Happens(troubles_.kill)) Kill(Any());
    if (Happens(troubles_.kill_all)) {
      std::ranges::for_each(fleet_, [this](Instance& i) { Kill(i); });
    }
    if (Happens(troubles_.cut)) Any().cut_till = now_ + Draw(40000) * 1ms;
    if (Happens(troubles_.store_off)) {
      store_off_till_ = now_ + Draw(20000) * 1ms;
    }
    if (Happens(troubles_.join)) Join(false);
    if (Happens(troubles_.shift)) first_ = static_cast<size_t>(Draw(4));
    if (Happens(troubles_.burst)) rate_ = Draw(3) * Draw(9);
    if (Happens(troubles_.recover)) fails_ = !fails_;
  }

  void ReadList(Instance& instance) {
    if (now_ < instance.next_read) return;
    instance.next_read =
        now_ + (++instance.reads <= kEarlyReads ? kEarlyRead : kLateRead);
    if (now_ < instance.cut_till || now_ < store_off_till_) return;
    const auto as_of = now_ - Draw(kStalestListMs) * 1ms;
    const auto listed = std::ranges::count_if(fleet_, [&](const Instance& i) {
      return i.entered && i.entered_at <= as_of;
    });
    const bool stands = instance.entered && instance.entered_at <= as_of;
    if (!instance.entered) {
      instance.entered = true;
      instance.entered_at = now_;
    }
    instance.budgets.NoteList(
        {.instances = static_cast<int>(listed) + (stands ? 0 : 1),
         .self_listed = stands},
        now_);
  }

  void Request() {
    sent_.push_back(now_);
    // Half of the fleet gets none until the traffic moves on.
    const size_t half = std::max<size_t>(1, fleet_.size() / 2);
    const size_t first = first_ * half / 2;
    const size_t at =
        (first + static_cast<size_t>(Draw(static_cast<int>(half)))) %
        fleet_.size();
    Later(Draw(kLatestMs) * 1ms, [this, at] { Arrive(at); });
  }

  void Arrive(size_t at) {
    if (now_ < fleet_[at].away_till) return;
    if (calls_ == Calls::kByOwner) return ArrivePiece(at);
    fleet_[at].budgets.OnRequest(kService, now_);
    if (fails_) Repeat(at, fleet_[at].starts, 3);
  }

  /** A piece earns half at the instance that has its request, half at its
   * owner. Calls that fail are repeated by the owner; pieces that were there
   * when it ends, and stages done again, by the instance with the request. */
  void ArrivePiece(size_t at) {
    const size_t owner = Owner();
    fleet_[at].budgets.OnRequest(kService, now_, kPieceWeight);
    fleet_[owner].budgets.OnRequest(kService, now_, kPieceWeight);
    if (fails_) Repeat(owner, fleet_[owner].starts, 2);
    const int start = fleet_[at].starts;
    const int owner_start = fleet_[owner].starts;
    Later(Draw(2000) * 1ms, [this, at, start, owner, owner_start] {
      const bool owner_ended = fleet_[owner].starts != owner_start;
      if (owner_ended || fails_) Repeat(at, start, 1);
    });
  }
  size_t Owner() const {
    const auto up = std::ranges::find_if(
        fleet_, [this](const Instance& i) { return now_ >= i.away_till; });
    return up == fleet_.end()
               ? 0
               : static_cast<size_t>(std::distance(fleet_.begin(), up));
  }

  void Repeat(size_t at, int start, int left) {
    Instance& instance = fleet_[at];
    if (instance.starts != start || left == 0) return;
    if (!instance.budgets.TrySpend(kService, now_)) return;
    const auto on_its_way = Draw(kLatestMs) * 1ms;
    repeats_.push_back(now_ + on_its_way);
    Later(on_its_way, [this, at, start, left] {
      if (fails_) Repeat(at, start, left - 1);
    });
  }

  void Later(milliseconds pause, std::function<void()> action) {
    pending_.emplace(now_ + pause, std::move(action));
  }
  void Deliver() {
    while (!pending_.empty() && pending_.begin()->first <= now_) {
      const auto action = std::move(pending_.begin()->second);
      pending_.erase(pending_.begin());
      action();
    }
  }

  std::mt19937 random_;
  RetryBudgetLimits limits_;
  Troubles troubles_;
  Calls calls_;
  Clock::time_point now_{1h};
  Clock::time_point store_off_till_;
  std::vector<Instance> fleet_;
  std::multimap<Clock::time_point, std::function<void()>> pending_;
  Times sent_;
  Times repeats_;
  int rate_ = 2;
  size_t first_ = 0;
  bool fails_ = true;
};

constexpr RetryBudgetLimits kSmallSite{
    .ratio = 0.2, .slack = 54, .window = kWindow};

/** @return the worst excess over some seeds. */
double WorstExcess(size_t instances, RetryBudgetLimits limits,
                   Troubles troubles) {
  double worst = std::numeric_limits<double>::lowest();
  for (uint32_t seed = 1; seed <= 12; ++seed) {
    World world(seed, instances, limits, troubles);
    world.Run(90s);
    REQUIRE(world.repeats() > 0);
    worst = std::max(worst, world.Excess());
  }
  return worst;
}

}  // namespace

// Guards against processes that each spend the whole share of an instance that
// is killed and started again within one window.
TEST_CASE("a fleet that is killed again and again keeps the retry budget") {
  REQUIRE(WorstExcess(7, kSmallSite, {.kill_all = 150, .recover = 400}) <= 0);
  REQUIRE(WorstExcess(7, kSmallSite, {.kill = 20}) <= 0);
  REQUIRE(WorstExcess(60, kSmallSite, {.kill = 3, .kill_all = 300}) <= 0);
}

// Guards against shares of the slack that are dealt by a list which lacks
// instances: not read yet, stale, or before others have joined.
TEST_CASE("a fleet that grows while it is cut off keeps the retry budget") {
  REQUIRE(WorstExcess(3, kSmallSite, {.join = 60}) <= 0);
  REQUIRE(WorstExcess(3, kSmallSite, {.cut = 40, .join = 60}) <= 0);
  REQUIRE(WorstExcess(7, kSmallSite,
                      {.kill = 60, .store_off = 900, .join = 90}) <= 0);
}

// Guards against instances that each spend what their own window allows, one
// after the other, as the traffic goes from one to the next.
TEST_CASE("traffic that moves between instances keeps the retry budget") {
  REQUIRE(WorstExcess(8, kSmallSite, {.shift = 200, .recover = 400}) <= 0);
  REQUIRE(WorstExcess(40, kSmallSite, {.shift = 400, .burst = 300}) <= 0);
}

// Guards against any of these together, whatever the bound and the fleet.
TEST_CASE("all troubles together keep the retry budget") {
  const Troubles all{.kill = 40,
                     .kill_all = 500,
                     .cut = 100,
                     .store_off = 1500,
                     .join = 300,
                     .shift = 300,
                     .burst = 400,
                     .recover = 400};
  for (const size_t instances : {1, 2, 7, 30, 100}) {
    for (const double slack : {0.0, 10.0, 54.0, 400.0}) {
      CAPTURE(instances, slack);
      const RetryBudgetLimits limits{
          .ratio = 0.2, .slack = slack, .window = kWindow};
      for (const Calls calls : {Calls::kByEntry, Calls::kByOwner}) {
        double worst = std::numeric_limits<double>::lowest();
        for (uint32_t seed = 1; seed <= 6; ++seed) {
          World world(seed, instances, limits, all, calls);
          world.Run(90s);
          worst = std::max(worst, world.Excess());
        }
        REQUIRE(worst <= 0);
      }
    }
  }
}

// Guards against a bound that is kept by never repeating anything.
TEST_CASE("most of the retry budget is spent while everything fails") {
  World world(1, 7, kSmallSite, {});
  world.Run(90s);
  // Two requests a step on average, and what the slack adds.
  const double allowed_in_90_s = 0.2 * 2 * (90s / kStep) + kSmallSite.slack;
  REQUIRE(static_cast<double>(world.repeats()) > 0.6 * allowed_in_90_s);
}
