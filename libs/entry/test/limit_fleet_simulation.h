#pragma once

#include <chrono>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <queue>
#include <random>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "turmeric/entry/send_permits.h"
#include "turmeric/entry/upstream_limiter.h"
#include "turmeric/routing/upstream.h"

namespace turmeric::entry::test {

/** Mean number of simulation steps between two faults of a kind; 0: never. */
struct LimitFaults {
  int restart = 0;   ///< An instance restarts.
  int freeze = 0;    ///< An instance stands still for up to 2 s.
  int cut = 0;       ///< An instance is cut off from the others for up to 6 s.
  int pair_cut = 0;  ///< Two instances cannot reach each other, up to 6 s.
  int join = 0;      ///< An instance joins the fleet.
};

/** One simulated deployment. */
struct LimitScenario {
  uint32_t seed = 1;
  int instances = 1;
  int upstreams = 4;
  int limited = 2;       ///< Number of upstreams that state a limit.
  double per_s = 1;      ///< The limit, requests per second.
  double demand = 40;    ///< Requests per second of all callers.
  bool enforced = true;  ///< False: the instances ignore limits.
  /** When the limit begins and ends, after the start. */
  std::chrono::milliseconds limit_begins{2000};
  std::chrono::milliseconds limit_ends{3600000};
  LimitFaults faults = {};
};

/** Requests of one run by their result. */
struct LimitResult {
  int served = 0;
  int refused = 0;
  /** Requests that were neither sent nor refused within their deadline. */
  int overdue = 0;
};

/**
 * Simulates a fleet of instances that sends requests to the upstreams of one
 * service in virtual time. Some upstreams state a rate limit in their answers.
 */
class LimitFleetSimulation {
 public:
  using Clock = std::chrono::steady_clock;

  explicit LimitFleetSimulation(LimitScenario scenario);
  ~LimitFleetSimulation();

  void Run(std::chrono::milliseconds time);
  /**
   * @return the largest number of requests that a limited upstream received
   *     within 4 s from instances that had received its limit at least 0.5 s
   *     before, from 3 s after it first stated the limit until it no
   *     longer does.
   */
  int MaxArrivals();
  /**
   * @param from start of the interval, after the start. @param to its end.
   * @return requests per second that the limited upstream with the fewest
   *     requests received in the interval.
   */
  double LeastRate(std::chrono::milliseconds from,
                   std::chrono::milliseconds to) const;
  const LimitResult& result() const { return result_; }

 private:
  struct Node;
  struct Arrival {
    Clock::time_point at;
    bool sender_told = false;
  };
  struct Event {
    Clock::time_point at;
    uint64_t number = 0;
    std::function<void()> action;
    bool operator<(const Event& other) const {
      return std::pair(at, number) > std::pair(other.at, other.number);
    }
  };
  /** Receives the upstream that a request may be sent to, or nullptr if it is
   * refused. */
  using Chosen = std::function<void(routing::UpstreamPtr)>;

  int Draw(int below) {
    return static_cast<int>(random_() % static_cast<uint32_t>(below));
  }
  Node& AnyNode();
  void At(Clock::time_point at, std::function<void()> action);
  void AddNode(bool joins);
  void ReadList(Node& node);
  Node* FindNode(const std::string& name);
  bool AreConnected(const Node& a, const Node& b) const;
  void SendFrame(Node& from, const std::string& name, peer::Frame frame);
  void Reply(Node& from, Node& to, int to_start, peer::Frame frame);
  std::chrono::milliseconds Transit();
  LimiterLinks LinksOf(Node& node);
  void StartNode(Node& node);
  void DrawFaults();
  void Request(Node& node);
  void Choose(Node& node, Clock::time_point deadline,
              std::shared_ptr<SendPermits> permits, Chosen chosen);
  void Send(Node& node, const routing::UpstreamPtr& upstream);
  void Answer(Node& node, int start, const routing::UpstreamPtr& upstream,
              Clock::time_point sent_at, bool stated);
  bool IsLimited(int upstream) const;
  bool IsRunning(const Node& node) const;

  LimitScenario scenario_;
  std::mt19937 random_;
  Clock::time_point now_{std::chrono::hours(1)};
  const Clock::time_point start_ = now_;
  double requests_due_ = 0;
  uint64_t events_added_ = 0;
  std::priority_queue<Event> events_;
  std::vector<std::unique_ptr<Node>> nodes_;
  /** Pairs of instances that cannot reach each other, and until when. */
  std::map<std::pair<std::string, std::string>, Clock::time_point> pair_cuts_;
  std::map<std::string, std::vector<Arrival>> arrivals_;
  LimitResult result_;
};

}  // namespace turmeric::entry::test
