#pragma once

#include <array>
#include <chrono>
#include <cstdint>
#include <deque>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <string>
#include <vector>

#include "turmeric/fairness/service_share.h"
#include "turmeric/fairness/share_coordinator.h"
#include "turmeric/fairness/work_estimate.h"

namespace turmeric::fairness::test {

/** The load of one run, and what fails during it. */
struct FairRun {
  uint32_t seed = 1;
  bool fair = true;           ///< False: the fleet without shares.
  bool one_instance = false;  ///< The large organisation uses instance 0 only.
  /** Killed after 5 s; -1: none. kCoordinator: the coordinator. */
  int killed = -1;
  /** As for `killed`; the instance goes on, and no message reaches it. */
  int cut_off = -1;
  double lost = 0;  ///< Part of the messages that is lost.
  std::chrono::milliseconds message_delay{2};
  int older_instances = 0;  ///< Those without shares.
  static constexpr int kCoordinator = 100;
};

/** Requests of one organisation. */
struct Served {
  int sent = 0;
  int answered = 0;  ///< Before the deadline.
  double ratio() const { return static_cast<double>(answered) / sent; }
};

/** Index 0 is the large organisation. */
struct FairResult {
  std::array<Served, 6> organisations;
  double per_s = 0;  ///< Answered requests of all.
  Served small() const;
  double worst() const;
};

/** Simulates six instances and twelve upstreams with two slots that bear 120
 * requests per second together. One organisation sends 240 requests per second,
 * five send 12 each, for 12 s, after a calm start. Refused callers return once.
 */
class FairFleet {
 public:
  explicit FairFleet(const FairRun& run);
  FairResult Run();

 private:
  struct Request {
    int organisation = 0;
    int instance = 0;
    Clock::time_point sent;
    double work = 0;
    bool counts = false;  ///< Sent during the competition.
    bool metered = false;
    bool returned = false;
    bool ended = false;
  };
  using RequestPtr = std::shared_ptr<Request>;
  struct Upstream {
    std::deque<RequestPtr> waiting;
    std::vector<std::pair<Clock::time_point, RequestPtr>> running;
    int load() const {
      return static_cast<int>(waiting.size() + running.size());
    }
  };
  struct Instance {
    bool alive = true;
    bool cut_off = false;
    ServiceShare share;
    std::optional<ShareCoordinator> coordinator;
    WorkEstimate work;
    std::array<int, 12> own{};
    std::array<int, 12> reported{};
  };
  struct Message {
    int from = 0;
    int to = 0;
    std::optional<DemandReport> report;
    std::optional<SharePlan> plan;
  };

  double Draw() { return std::uniform_real_distribution<>()(random_); }
  int Owner() const;
  int AnyAlive();
  bool HasShares(int instance) const;
  CapacityPart Part() const;
  void Arrive(const RequestPtr& request);
  void Send(const RequestPtr& request);
  void End(const RequestPtr& request, bool answered);
  void Step(Upstream& upstream, size_t index);
  void Tick(int instance);
  void Deliver(Message message);
  void Fail();

  FairRun run_;
  std::mt19937 random_;
  Clock::time_point now_;
  Clock::time_point end_;
  int answered_by_end_ = 0;
  std::vector<Instance> instances_;
  std::vector<Upstream> upstreams_;
  std::multimap<Clock::time_point, Message> messages_;
  std::multimap<Clock::time_point, RequestPtr> returning_;
  std::deque<RequestPtr> open_;
  std::optional<Clock::time_point> failure_known_at_;
  int failed_ = -1;
  FairResult result_;
};

}  // namespace turmeric::fairness::test
