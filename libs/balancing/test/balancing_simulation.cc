#include "balancing_simulation.h"

#include <algorithm>
#include <chrono>
#include <memory>
#include <numeric>
#include <random>
#include <string>

#include "turmeric/routing/choice.h"

namespace turmeric::balancing {

namespace {

using routing::ChoiceRequest;
using routing::Upstream;
using routing::UpstreamPtr;
using std::chrono::milliseconds;

constexpr double kTargetMs = 300;
constexpr int64_t kWarmUpMs = 5000;
/** One-way latency within an availability zone. */
constexpr int64_t kLatencyMs = 1;
constexpr size_t kSlowed = 2;

struct Job {
  int instance = 0;
  int64_t sent_ms = 0;
  double work_ms = 0;  ///< Left to do, at speed 1.
  OpenSend send;
};

/** An upstream process; the first `slots` jobs run, the others wait. */
struct Server {
  double speed = 1;
  double pace = 1;
  std::vector<Job> jobs;
};

class Simulation {
 public:
  explicit Simulation(const SimulatedLoad& load)
      : load_(load), random_(load.seed) {
    double capacity = 0;  // Requests per ms.
    for (const double speed : load.speeds) {
      servers_.push_back({.speed = speed, .pace = 1, .jobs = {}});
      capacity += load.slots / (load.work_ms * speed);
    }
    rate_ = load.load * capacity;
    seen_.resize(static_cast<size_t>(load.instances));
    for (auto& upstreams : seen_) {
      for (size_t i = 0; i < servers_.size(); ++i) {
        upstreams.push_back(std::make_shared<Upstream>());
        upstreams.back()->entry.id = "i-" + std::to_string(i);
        upstreams.back()->entry.slots = load.slots;
      }
    }
    result_.served.resize(servers_.size());
  }

  SimulatedResult Run() {
    const int64_t end_ms = int64_t{1000} * load_.seconds;
    for (now_ms_ = 0; now_ms_ < end_ms; ++now_ms_) {
      if (now_ms_ % 1000 == 0) SlowOthers();
      const int arrivals = std::poisson_distribution<int>(rate_)(random_);
      for (int i = 0; i < arrivals; ++i) SendOne();
      for (size_t i = 0; i < servers_.size(); ++i) Serve(i);
      NoteIdle();
    }
    return Finish();
  }

 private:
  Clock::time_point Now() const {
    return Clock::time_point(std::chrono::hours(1) + milliseconds(now_ms_));
  }

  void SlowOthers() {
    std::vector<size_t> all(servers_.size());
    std::iota(all.begin(), all.end(), 0);
    std::ranges::shuffle(all, random_);
    for (size_t i = 0; i < all.size(); ++i) {
      servers_[all[i]].pace = i < kSlowed ? load_.slowdown : 1;
    }
  }

  void SendOne() {
    const int instance =
        std::uniform_int_distribution(0, load_.instances - 1)(random_);
    const auto& upstreams = seen_[static_cast<size_t>(instance)];
    ChoiceRequest request;
    if (load_.method == Method::kExpectedTime) request.draw = random_();
    const UpstreamPtr chosen = ChooseUpstream(upstreams, request, Now());
    ++chosen->in_flight;
    const double work =
        load_.work_ms * std::uniform_real_distribution(0.5, 1.5)(random_);
    const auto index = static_cast<size_t>(
        std::ranges::find(upstreams, chosen) - upstreams.begin());
    servers_[index].jobs.push_back({.instance = instance,
                                    .sent_ms = now_ms_,
                                    .work_ms = work,
                                    .send = chosen->load.OnSend(Now())});
  }

  void Serve(size_t index) {
    Server& server = servers_[index];
    const size_t running =
        std::min(server.jobs.size(), static_cast<size_t>(load_.slots));
    for (size_t i = 0; i < running; ++i) {
      server.jobs[i].work_ms -= 1.0 / (server.speed * server.pace);
    }
    for (size_t i = running; i-- > 0;) {
      if (server.jobs[i].work_ms > 0) continue;
      const Job job = server.jobs[i];
      server.jobs.erase(server.jobs.begin() + static_cast<int64_t>(i));
      Answer(index, job);
    }
  }

  void Answer(size_t index, const Job& job) {
    const Server& server = servers_[index];
    Upstream& upstream = *seen_[static_cast<size_t>(job.instance)][index];
    const auto ms = static_cast<double>(now_ms_ - job.sent_ms + 2 * kLatencyMs);
    --upstream.in_flight;
    NoteOutcome(upstream, routing::Outcome::kAnswered, ms, Now());
    if (load_.reports) {
      const int jobs = static_cast<int>(server.jobs.size());
      const bool lies = load_.false_report == static_cast<int>(index);
      upstream.load.OnReport(
          {.running = lies ? 0 : std::min(jobs, load_.slots),
           .waiting = lies ? 0 : std::max(0, jobs - load_.slots),
           .slots = load_.slots,
           .pace = lies ? kMinPace : server.pace,
           .at = Now()});
    }
    upstream.load.OnServed(job.send, 1.0, Now());
    upstream.load.OnEnd(job.send);
    if (job.sent_ms < kWarmUpMs) return;
    times_.push_back(ms);
    ++result_.served[index];
  }

  void NoteIdle() {
    if (now_ms_ < kWarmUpMs) return;
    const double fastest = std::ranges::min(load_.speeds);
    const double slowest = std::ranges::max(load_.speeds);
    bool fast_full = true;
    bool slow_idle = true;
    for (const Server& s : servers_) {
      if (s.speed == fastest) {
        fast_full =
            fast_full && s.jobs.size() >= static_cast<size_t>(load_.slots);
      }
      if (s.speed == slowest) slow_idle = slow_idle && s.jobs.empty();
    }
    if (!fast_full) return;
    ++fast_full_ms_;
    if (slow_idle) ++slow_idle_ms_;
  }

  SimulatedResult Finish() {
    std::ranges::sort(times_);
    const auto at = [&](double part) {
      return times_[static_cast<size_t>(
          part * static_cast<double>(times_.size() - 1))];
    };
    result_.p50_ms = at(0.5);
    result_.p95_ms = at(0.95);
    const auto late = std::ranges::upper_bound(times_, kTargetMs);
    result_.in_time = static_cast<double>(late - times_.begin()) /
                      static_cast<double>(times_.size());
    result_.slow_idle =
        static_cast<double>(slow_idle_ms_) /
        static_cast<double>(std::max<int64_t>(1, fast_full_ms_));
    return result_;
  }

  const SimulatedLoad& load_;
  std::mt19937_64 random_;
  std::vector<Server> servers_;
  /** The upstreams as each instance sees them. */
  std::vector<std::vector<UpstreamPtr>> seen_;
  double rate_ = 0;
  int64_t now_ms_ = 0;
  int64_t fast_full_ms_ = 0;
  int64_t slow_idle_ms_ = 0;
  std::vector<double> times_;
  SimulatedResult result_;
};

}  // namespace

SimulatedResult Simulate(const SimulatedLoad& load) {
  return Simulation(load).Run();
}

std::vector<double> UnevenSpeeds() {
  return {1, 1.5, 3, 1, 1.5, 3, 1, 1.5, 3, 1, 1.5, 3};
}

}  // namespace turmeric::balancing
