#include "limit_fleet_simulation.h"

#include <algorithm>
#include <utility>

#include "turmeric/routing/choice.h"

using namespace std::chrono_literals;  // NOLINT(google-build-using-namespace)

namespace turmeric::entry::test {

using routing::Upstream;
using routing::UpstreamPtr;
using std::chrono::milliseconds;

namespace {

constexpr milliseconds kStep{10};
/** Time from the choice of an upstream to the arrival of the request. */
constexpr int kMinTransitMs = 1;
constexpr int kMaxTransitMs = 60;
/** Time from the arrival of a request to its answer. */
constexpr int kMinServiceMs = 40;
constexpr int kMaxServiceMs = 400;
constexpr milliseconds kDeadline{1500};
/** Span of the bound, and times after which it applies: from the first
 * statement of a limit, and from the answer that an instance received. */
constexpr milliseconds kSpan{4000};
constexpr milliseconds kAppliesAfter{3000};
constexpr milliseconds kToldAfter{500};

std::string UpstreamName(int number) { return "i-" + std::to_string(number); }

}  // namespace

struct LimitFleetSimulation::Node {
  std::string name;
  int starts = 0;
  Clock::time_point down_until;
  Clock::time_point frozen_until;
  Clock::time_point cut_until;
  std::vector<UpstreamPtr> upstreams;
  /** When this start of the instance first received each upstream's limit. */
  std::map<std::string, Clock::time_point> told_at;
};

LimitFleetSimulation::LimitFleetSimulation(LimitScenario scenario)
    : scenario_(scenario), random_(scenario.seed) {
  for (int i = 0; i < scenario.instances; ++i) AddNode(false);
}

LimitFleetSimulation::~LimitFleetSimulation() = default;

void LimitFleetSimulation::At(Clock::time_point at,
                              std::function<void()> action) {
  events_.push({at, events_added_++, std::move(action)});
}

LimitFleetSimulation::Node& LimitFleetSimulation::AnyNode() {
  return *nodes_[static_cast<size_t>(Draw(static_cast<int>(nodes_.size())))];
}

void LimitFleetSimulation::AddNode(bool /*joins*/) {
  nodes_.push_back(std::make_unique<Node>());
  nodes_.back()->name = "entry-" + std::to_string(nodes_.size());
  StartNode(*nodes_.back());
}

void LimitFleetSimulation::StartNode(Node& node) {
  ++node.starts;
  node.told_at.clear();
  node.upstreams.clear();
  for (int i = 0; i < scenario_.upstreams; ++i) {
    node.upstreams.push_back(std::make_shared<Upstream>());
    node.upstreams.back()->entry.id = UpstreamName(i);
    node.upstreams.back()->entry.service = "app";
  }
}

void LimitFleetSimulation::Run(milliseconds time) {
  const auto end = now_ + time;
  const double per_step =
      scenario_.demand * std::chrono::duration<double>(kStep).count();
  for (; now_ < end; now_ += kStep) {
    while (!events_.empty() && events_.top().at <= now_) {
      const auto action = events_.top().action;
      events_.pop();
      action();
    }
    DrawFaults();
    for (requests_due_ += per_step; requests_due_ >= 1; --requests_due_) {
      Request(AnyNode());
    }
  }
}

void LimitFleetSimulation::DrawFaults() {
  const auto due = [this](int mean) { return mean > 0 && Draw(mean) == 0; };
  if (due(scenario_.faults.restart)) {
    Node& node = AnyNode();
    node.down_until = now_ + (300 + Draw(1500)) * 1ms;
    StartNode(node);
  }
  if (due(scenario_.faults.freeze)) {
    AnyNode().frozen_until = now_ + Draw(2000) * 1ms;
  }
  if (due(scenario_.faults.cut)) AnyNode().cut_until = now_ + Draw(6000) * 1ms;
  if (due(scenario_.faults.join)) AddNode(true);
}

bool LimitFleetSimulation::IsRunning(const Node& node) const {
  return now_ >= node.down_until && now_ >= node.frozen_until;
}

bool LimitFleetSimulation::IsLimited(int upstream) const {
  const auto since_start = now_ - start_;
  return upstream < scenario_.limited &&
         since_start >= scenario_.limit_begins &&
         since_start < scenario_.limit_ends;
}

void LimitFleetSimulation::Request(Node& node) {
  if (!IsRunning(node)) return;
  Choose(node, now_ + kDeadline, [this, &node](const UpstreamPtr& upstream) {
    if (!upstream) {
      ++result_.refused;
      return;
    }
    ++result_.served;
    Send(node, upstream);
  });
}

void LimitFleetSimulation::Choose(Node& node, Clock::time_point /*deadline*/,
                                  Chosen chosen) {
  chosen(ChooseUpstream(node.upstreams, routing::ChoiceRequest(), now_));
}

void LimitFleetSimulation::Send(Node& node, const UpstreamPtr& upstream) {
  const int start = node.starts;
  const auto sent_at = now_;
  ++upstream->in_flight;
  const auto transit =
      (kMinTransitMs + Draw(kMaxTransitMs - kMinTransitMs)) * 1ms;
  At(now_ + transit, [this, &node, start, upstream, sent_at] {
    const auto told = node.told_at.find(upstream->entry.id);
    const bool sender_told = start == node.starts &&
                             told != node.told_at.end() &&
                             told->second + kToldAfter <= now_;
    arrivals_[upstream->entry.id].push_back({now_, sender_told});
    const int number = std::stoi(upstream->entry.id.substr(2));
    const auto service =
        (kMinServiceMs + Draw(kMaxServiceMs - kMinServiceMs)) * 1ms;
    At(now_ + service, [this, &node, start, upstream, sent_at, number] {
      const bool stated = IsLimited(number);
      const auto back =
          (kMinTransitMs + Draw(kMaxTransitMs - kMinTransitMs)) * 1ms;
      At(std::max(now_ + back, node.frozen_until),
         [this, &node, start, upstream, sent_at, stated] {
           Answer(node, start, upstream, sent_at, stated);
         });
    });
  });
}

void LimitFleetSimulation::Answer(Node& node, int start,
                                  const UpstreamPtr& upstream,
                                  Clock::time_point /*sent_at*/, bool stated) {
  --upstream->in_flight;
  if (start != node.starts || !stated) return;
  node.told_at.try_emplace(upstream->entry.id, now_);
}

int LimitFleetSimulation::MaxArrivals() {
  const auto applies_from = start_ + scenario_.limit_begins + kAppliesAfter;
  int most = 0;
  for (int i = 0; i < scenario_.limited; ++i) {
    std::vector<Clock::time_point> counted;
    for (const Arrival& arrival : arrivals_[UpstreamName(i)]) {
      if (arrival.sender_told) counted.push_back(arrival.at);
    }
    std::ranges::sort(counted);
    for (size_t first = 0, last = 0; last < counted.size(); ++last) {
      while (counted[first] + kSpan <= counted[last]) ++first;
      if (counted[last] < applies_from) continue;
      most = std::max(most, static_cast<int>(last - first + 1));
    }
  }
  return most;
}

double LimitFleetSimulation::LeastRate(milliseconds from,
                                       milliseconds to) const {
  double least = std::numeric_limits<double>::infinity();
  for (int i = 0; i < scenario_.limited; ++i) {
    const auto arrivals = arrivals_.find(UpstreamName(i));
    const auto count =
        arrivals == arrivals_.end()
            ? 0
            : std::ranges::count_if(arrivals->second, [&](const Arrival& a) {
                return a.at >= start_ + from && a.at < start_ + to;
              });
    least =
        std::min(least, static_cast<double>(count) /
                            std::chrono::duration<double>(to - from).count());
  }
  return least;
}

}  // namespace turmeric::entry::test
