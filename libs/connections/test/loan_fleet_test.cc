// Simulates a fleet that lends connections of one upstream, with messages that
// are delayed or lost, instances that freeze, restart or are cut off, and
// instances of a release that neither borrows nor lends.
#include <rapidcheck.h>

#include <algorithm>
#include <catch2/catch.hpp>
#include <cstdint>
#include <deque>
#include <numeric>
#include <random>
#include <string>
#include <vector>

#include "turmeric/connections/connection_borrower.h"
#include "turmeric/connections/connection_lender.h"
#include "turmeric/connections/connection_shares.h"

namespace turmeric::connections {
namespace {

using std::chrono::milliseconds;

constexpr milliseconds kStep{50};
constexpr milliseconds kMaxDelay{400};
constexpr milliseconds kMaxFreeze{4000};
constexpr milliseconds kMaxPartition{40'000};
/** Longest time for which a request keeps its connection. */
constexpr milliseconds kMaxRequest{20'000};
/** Interval at which idle connections are trimmed and loans returned. */
constexpr milliseconds kMaintainInterval{1000};

struct FaultRates {
  double loss = 0;
  double restart = 0;  ///< Per instance and step.
  double freeze = 0;
  double partition = 0;  ///< From all other instances.
};

class FleetSimulation {
 public:
  /** @param older number of the last instances that take an even share, and
   * neither borrow nor lend. */
  FleetSimulation(uint64_t seed, int instances, int max_connections,
                  FaultRates rates, int older = 0)
      : random_(seed), max_(max_connections), rates_(rates) {
    fleet_ = {.instances = instances,
              .lenders = std::min(instances, 5),
              .older = older};
    for (int i = 0; i < instances; ++i) {
      Instance& instance = instances_.emplace_back(Name(i));
      // The fleet starts for the first time: no earlier lender has lent.
      instance.lends_from = now_;
      instance.older = i >= instances - older;
    }
    for (int i = 0; i < fleet_.lenders; ++i) lenders_.push_back(Name(i));
    for (size_t from = 0; from < instances_.size(); ++from) {
      for (size_t to = 0; to < lenders_.size(); ++to) PostStart(from, to);
    }
  }

  /** @param demand connections that each instance wants. */
  void Run(milliseconds time, const std::vector<int>& demand) {
    for (const auto end = now_ + time; now_ < end; now_ += kStep) {
      Deliver();
      for (size_t i = 0; i < instances_.size(); ++i) Step(i, demand[i]);
      RC_ASSERT(Open() <= max_);
    }
  }

  int Open() const {
    return std::accumulate(instances_.begin(), instances_.end(), 0,
                           [](int sum, const Instance& i) {
                             return sum + static_cast<int>(i.ends.size()) +
                                    i.idle;
                           });
  }
  int OpenAt(size_t i) const {
    return static_cast<int>(instances_[i].ends.size());
  }
  /** Cuts an instance off from all others. */
  void CutOff(size_t i, milliseconds time) {
    instances_[i].cut_off_until = now_ + time;
  }
  /** Ends the process of an instance, and starts another one. */
  void Restart(size_t index) {
    Instance& i = instances_[index];
    // The system closes the connections of a process that ends.
    Instance next(Name(static_cast<int>(index)));
    next.start = i.start + 1;
    next.older = i.older;
    next.cut_off_until = i.cut_off_until;
    next.lends_from = now_ + kLoanExpiry;
    i = next;
    for (size_t to = 0; to < lenders_.size(); ++to) PostStart(index, to);
    for (size_t from = 0; from < instances_.size(); ++from) {
      if (index < lenders_.size()) PostStart(from, index);
    }
  }

 private:
  struct Instance {
    explicit Instance(const std::string& name) : borrower(name) {}

    int start = 0;  ///< Counts its process starts.
    ConnectionBorrower borrower;
    ConnectionLender lender;
    Clock::time_point lends_from;
    Clock::time_point frozen_until;
    Clock::time_point cut_off_until;
    bool older = false;
    /** When its requests end. */
    std::vector<Clock::time_point> ends;
    int idle = 0;  ///< Idle connections that are kept open.
  };
  struct Message {
    enum class Kind { kOrder, kGrant, kStart };

    Clock::time_point at;
    size_t from = 0;
    size_t to = 0;
    int from_start = 0;
    LoanOrder order;
    LoanGrant grant;
    Kind kind = Kind::kOrder;
  };

  static std::string Name(int i) { return "i" + std::to_string(i); }
  bool Draw(double p) {
    return std::uniform_real_distribution<double>(0, 1)(random_) < p;
  }
  milliseconds DrawTime(milliseconds max) {
    return milliseconds(
        std::uniform_int_distribution<int64_t>(0, max.count())(random_));
  }

  void Post(Message message) {
    if (Draw(rates_.loss) || IsCut(message)) return;
    message.at = now_ + DrawTime(kMaxDelay);
    messages_.push_back(std::move(message));
  }

  bool IsCut(const Message& m) const {
    return instances_[m.from].cut_off_until > now_ ||
           instances_[m.to].cut_off_until > now_;
  }

  void Send(size_t from, const std::vector<AddressedOrder>& orders) {
    for (const AddressedOrder& o : orders) {
      const auto to = std::ranges::find(lenders_, o.lender) - lenders_.begin();
      Post({.at = {},
            .from = from,
            .to = static_cast<size_t>(to),
            .from_start = instances_[from].start,
            .order = o.order,
            .grant = {}});
    }
  }

  void Deliver() {
    for (size_t i = 0; i < messages_.size(); ++i) {
      const Instance& receiver = instances_[messages_[i].to];
      const bool is_due = messages_[i].at <= now_ && !IsCut(messages_[i]);
      if (!is_due || receiver.frozen_until > now_) continue;
      const Message m = messages_[i];
      messages_.erase(messages_.begin() + static_cast<std::ptrdiff_t>(i--));
      switch (m.kind) {
        case Message::Kind::kOrder:
          OnOrder(m);
          break;
        case Message::Kind::kGrant:
          OnGrant(m);
          break;
        case Message::Kind::kStart:
          instances_[m.to].lender.OnProcessStart(
              Identity(m.from, m.from_start));
          break;
      }
    }
  }

  /** The first frame on a new connection is not lost, but may be late. */
  void PostStart(size_t from, size_t to) {
    messages_.push_back({.at = now_ + DrawTime(kMaxDelay),
                         .from = from,
                         .to = to,
                         .from_start = instances_[from].start,
                         .order = {},
                         .grant = {},
                         .kind = Message::Kind::kStart});
  }

  static std::string Identity(size_t instance, int start) {
    return Name(static_cast<int>(instance)) + "#" + std::to_string(start);
  }

  void OnOrder(const Message& m) {
    Instance& lender = instances_[m.to];
    const LendablePart part{
        .connections = LenderPart(max_, fleet_, static_cast<int>(m.to)),
        .may_extend = now_ >= lender.lends_from};
    const std::string identity = Identity(m.from, m.from_start);
    Post({.at = {},
          .from = m.to,
          .to = m.from,
          .from_start = m.from_start,
          .order = {},
          .grant = lender.lender.Decide(identity, m.order, part, now_),
          .kind = Message::Kind::kGrant});
  }

  void OnGrant(const Message& m) {
    Instance& borrower = instances_[m.to];
    if (borrower.start != m.from_start) return;
    borrower.borrower.OnGrant(lenders_[m.from], m.grant, now_);
  }

  void Step(size_t index, int demand) {
    Instance& i = instances_[index];
    if (Draw(rates_.restart)) Restart(index);
    if (Draw(rates_.freeze)) i.frozen_until = now_ + DrawTime(kMaxFreeze);
    if (Draw(rates_.partition)) CutOff(index, DrawTime(kMaxPartition));
    if (i.frozen_until > now_) return;
    const auto ended =
        std::erase_if(i.ends, [this](auto end) { return end <= now_; });
    i.idle += static_cast<int>(ended);
    if (i.older) return SendRequests(i, demand, EvenShare(max_, fleet_));
    const int own = OwnShare(max_, fleet_.instances);
    const int limit = own + i.borrower.Borrowed("u", now_);
    SendRequests(i, demand, limit);
    if (demand > limit) {
      Send(index, i.borrower.Extend("u", demand - own, lenders_, now_));
    }
    if ((now_.time_since_epoch() % kMaintainInterval).count() == 0) {
      const int busy = static_cast<int>(i.ends.size());
      i.idle =
          std::clamp(std::min(limit, std::max(own, demand)) - busy, 0, i.idle);
      const int kept = std::max(busy + i.idle, std::min(demand, limit));
      Send(index, i.borrower.Reduce("u", std::max(0, kept - own), now_));
      Send(index, i.borrower.Renew(now_));
    }
  }

  void SendRequests(Instance& i, int demand, int limit) {
    while (static_cast<int>(i.ends.size()) < std::min(limit, demand)) {
      if (i.idle > 0) --i.idle;
      i.ends.push_back(now_ + DrawTime(kMaxRequest));
    }
  }

  std::mt19937_64 random_;
  int max_;
  FaultRates rates_;
  Fleet fleet_;
  std::vector<Instance> instances_;
  std::vector<std::string> lenders_;
  std::vector<Message> messages_;
  Clock::time_point now_{milliseconds(1'000'000)};
};

void CheckSum(FaultRates rates, bool with_older) {
  const int instances = *rc::gen::inRange(2, 12);
  const int max_connections = *rc::gen::inRange(instances, 120);
  const int older = with_older ? *rc::gen::inRange(0, instances) : 0;
  FleetSimulation fleet(*rc::gen::arbitrary<uint64_t>(), instances,
                        max_connections, rates, older);
  for (int phase = 0; phase < 6; ++phase) {
    std::vector<int> demand(static_cast<size_t>(instances),
                            OwnShare(max_connections, instances));
    demand[*rc::gen::inRange<size_t>(0, demand.size())] = max_connections;
    demand[*rc::gen::inRange<size_t>(0, demand.size())] = max_connections / 2;
    fleet.Run(milliseconds(10'000), demand);
  }
}

TEST_CASE("loans never add up to more connections than an upstream accepts") {
  CHECK(rc::check("with lost messages, freezes and restarts", [] {
    CheckSum({.loss = 0.1, .restart = 0.002, .freeze = 0.005}, false);
  }));
  CHECK(rc::check("with instances that are cut off", [] {
    CheckSum({.loss = 0.05, .freeze = 0.002, .partition = 0.002}, false);
  }));
  CHECK(rc::check("with all of these and instances of an older release", [] {
    CheckSum(
        {.loss = 0.1, .restart = 0.002, .freeze = 0.002, .partition = 0.001},
        true);
  }));
}

TEST_CASE("one crowded instance of many gets most connections at once") {
  std::vector<int> demand(12, 1);
  demand[7] = 50;
  FleetSimulation fleet(1, 12, 72, {});
  fleet.Run(milliseconds(2000), demand);
  // Its own share of 3 and the 32 that are lent.
  CHECK(fleet.OpenAt(7) == 35);
}

TEST_CASE("connections are lent to the next crowded instance once returned") {
  std::vector<int> demand(12, 1);
  demand[7] = 50;
  FleetSimulation fleet(1, 12, 72, {});
  fleet.Run(milliseconds(2000), demand);
  std::swap(demand[7], demand[3]);
  fleet.Run(kMaxRequest + milliseconds(4000), demand);
  CHECK(fleet.OpenAt(3) == 35);
}

// Guards against connections that are lent twice after a partition in which
// their borrower could not renew its loan.
TEST_CASE("a lapsed loan counts while its requests run") {
  CHECK(rc::check("for any time of the partition", [] {
    std::vector<int> demand(4, OwnShare(24, 4));
    demand[3] = 20;
    FleetSimulation fleet(*rc::gen::arbitrary<uint64_t>(), 4, 24, {});
    fleet.Run(milliseconds(3000), demand);
    fleet.CutOff(3, milliseconds(*rc::gen::inRange(1000, 40'000)));
    demand[3] = *rc::gen::inRange(1, 20);
    fleet.Run(milliseconds(2000), demand);
    demand[2] = 20;
    fleet.Run(milliseconds(50'000), demand);
  }));
}

// Guards against a crowded instance that gets only its own share after a
// restart, as its earlier process had borrowed the rest.
TEST_CASE("a restarted instance borrows what its earlier process had") {
  std::vector<int> demand(12, 1);
  demand[7] = 50;
  FleetSimulation fleet(1, 12, 72, {});
  fleet.Run(milliseconds(2000), demand);
  fleet.Restart(7);
  fleet.Run(milliseconds(4000), demand);
  CHECK(fleet.OpenAt(7) == 35);
}

}  // namespace
}  // namespace turmeric::connections
