// Simulates a fleet that lends connections of one upstream, with messages that
// are delayed or lost, and instances that freeze or restart.
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
/** Longest time for which a request keeps its connection. */
constexpr milliseconds kMaxRequest{20'000};

struct FaultRates {
  double loss = 0;
  double restart = 0;  ///< Per instance and step.
  double freeze = 0;
};

class FleetSimulation {
 public:
  FleetSimulation(uint64_t seed, int instances, int max_connections,
                  FaultRates rates)
      : random_(seed), max_(max_connections), rates_(rates) {
    fleet_ = {instances, std::min(instances, 5)};
    for (int i = 0; i < instances; ++i) {
      Instance& instance = instances_.emplace_back(Name(i));
      // The fleet starts for the first time: no earlier lender has lent.
      instance.lends_from = now_;
    }
    for (int i = 0; i < fleet_.lenders; ++i) lenders_.push_back(Name(i));
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
                             return sum + static_cast<int>(i.ends.size());
                           });
  }
  int OpenAt(size_t i) const {
    return static_cast<int>(instances_[i].ends.size());
  }

 private:
  struct Instance {
    explicit Instance(const std::string& name) : borrower(name) {}

    int start = 0;  ///< Counts its process starts.
    ConnectionBorrower borrower;
    ConnectionLender lender;
    Clock::time_point lends_from;
    Clock::time_point frozen_until;
    /** When its open connections end. */
    std::vector<Clock::time_point> ends;
  };
  struct Message {
    Clock::time_point at;
    size_t from = 0;
    size_t to = 0;
    int from_start = 0;
    LoanOrder order;
    LoanGrant grant;
    bool is_grant = false;
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
    if (Draw(rates_.loss)) return;
    message.at = now_ + DrawTime(kMaxDelay);
    messages_.push_back(std::move(message));
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
      const bool is_due = messages_[i].at <= now_;
      if (!is_due || receiver.frozen_until > now_) continue;
      const Message m = messages_[i];
      messages_.erase(messages_.begin() + static_cast<std::ptrdiff_t>(i--));
      m.is_grant ? OnGrant(m) : OnOrder(m);
    }
  }

  void OnOrder(const Message& m) {
    Instance& lender = instances_[m.to];
    const LendablePart part{
        .connections = LenderPart(max_, fleet_, static_cast<int>(m.to)),
        .may_extend = now_ >= lender.lends_from};
    const std::string identity =
        Name(static_cast<int>(m.from)) + "#" + std::to_string(m.from_start);
    Post({.at = {},
          .from = m.to,
          .to = m.from,
          .from_start = m.from_start,
          .order = {},
          .grant = lender.lender.Decide(identity, m.order, part, now_),
          .is_grant = true});
  }

  void OnGrant(const Message& m) {
    Instance& borrower = instances_[m.to];
    if (borrower.start != m.from_start) return;
    borrower.borrower.OnGrant(lenders_[m.from], m.grant, now_);
  }

  void Step(size_t index, int demand) {
    Instance& i = instances_[index];
    if (Draw(rates_.restart)) {
      // The system closes the connections of a process that ends.
      const int start = i.start + 1;
      i = Instance(Name(static_cast<int>(index)));
      i.start = start;
      i.lends_from = now_ + kLoanExpiry;
    }
    if (Draw(rates_.freeze)) {
      i.frozen_until = now_ + DrawTime(kMaxFreeze);
    }
    if (i.frozen_until > now_) return;
    std::erase_if(i.ends, [this](auto end) { return end <= now_; });
    const int own = OwnShare(max_, fleet_.instances);
    const int limit = own + i.borrower.Borrowed("u", now_);
    while (static_cast<int>(i.ends.size()) < std::min(limit, demand)) {
      i.ends.push_back(now_ + DrawTime(kMaxRequest));
    }
    const int open = static_cast<int>(i.ends.size());
    if (demand > limit) {
      Send(index, i.borrower.Extend("u", demand - own, lenders_, now_));
    } else {
      Send(index, i.borrower.Reduce("u", std::max(open, demand) - own, now_));
    }
    Send(index, i.borrower.Renew(now_));
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

TEST_CASE("loans never add up to more connections than an upstream accepts") {
  CHECK(rc::check("with lost messages, freezes and restarts", [] {
    const int instances = *rc::gen::inRange(2, 12);
    const int max_connections = *rc::gen::inRange(instances, 120);
    FleetSimulation fleet(*rc::gen::arbitrary<uint64_t>(), instances,
                          max_connections,
                          {.loss = 0.1, .restart = 0.002, .freeze = 0.005});
    for (int phase = 0; phase < 4; ++phase) {
      std::vector<int> demand(static_cast<size_t>(instances), 1);
      demand[*rc::gen::inRange<size_t>(0, demand.size())] = max_connections;
      demand[*rc::gen::inRange<size_t>(0, demand.size())] = max_connections / 2;
      fleet.Run(milliseconds(10'000), demand);
    }
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

}  // namespace
}  // namespace turmeric::connections
