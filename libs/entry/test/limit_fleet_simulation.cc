#include "limit_fleet_simulation.h"

#include <algorithm>
#include <limits>
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

constexpr auto kService = "app";
/** Reads of the list of instances: the first after a start, and later ones, and
 * the greatest age of what they return. */
constexpr milliseconds kEarlyReadInterval{1500};
constexpr int kEarlyReads = 4;
constexpr milliseconds kLateReadInterval{10000};
constexpr int kMaxListAgeMs = 3000;
/** Time from the start of an instance that joins until it is listed. */
constexpr milliseconds kEntryTime{300};

std::string UpstreamName(int number) { return "i-" + std::to_string(number); }

}  // namespace

struct LimitFleetSimulation::Node {
  std::string name;
  int starts = 0;
  Clock::time_point down_until;
  Clock::time_point frozen_until;
  Clock::time_point cut_until;
  /** When its entry was written to the list of instances. */
  Clock::time_point entered_at;
  Clock::time_point read_at;  ///< Next read of the list.
  int reads = 0;
  routing::UpstreamTable upstreams;
  std::unique_ptr<UpstreamLimiter> limiter;
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

void LimitFleetSimulation::AddNode(bool joins) {
  nodes_.push_back(std::make_unique<Node>());
  Node& node = *nodes_.back();
  node.name = "entry-" + std::to_string(nodes_.size());
  node.entered_at = joins ? now_ + kEntryTime : now_ - std::chrono::minutes(1);
  StartNode(node);
}

LimitFleetSimulation::Node* LimitFleetSimulation::FindNode(
    const std::string& name) {
  const auto it = std::ranges::find(
      nodes_, name, [](const auto& node) { return node->name; });
  return it == nodes_.end() ? nullptr : it->get();
}

void LimitFleetSimulation::ReadList(Node& node) {
  node.read_at = now_ + (++node.reads <= kEarlyReads ? kEarlyReadInterval
                                                     : kLateReadInterval);
  const auto as_of = now_ - Draw(kMaxListAgeMs) * 1ms;
  std::vector<std::string> names;
  for (const auto& other : nodes_) {
    if (other->entered_at <= as_of) names.push_back(other->name);
  }
  const bool listed = std::ranges::count(names, node.name) > 0;
  node.limiter->OnInstances(names, listed, now_);
}

bool LimitFleetSimulation::AreConnected(const Node& a, const Node& b) const {
  const auto cut = pair_cuts_.find(std::minmax(a.name, b.name));
  return now_ >= a.cut_until && now_ >= b.cut_until &&
         (cut == pair_cuts_.end() || now_ >= cut->second);
}

milliseconds LimitFleetSimulation::Transit() {
  return (kMinTransitMs + Draw(kMaxTransitMs - kMinTransitMs)) * 1ms;
}

void LimitFleetSimulation::SendFrame(Node& from, const std::string& name,
                                     peer::Frame frame) {
  Node* to = FindNode(name);
  if (to == nullptr) return;
  const int from_start = from.starts;
  const int to_start = to->starts;
  At(now_ + Transit(),
     [this, &from, to, from_start, to_start, frame = std::move(frame)] {
       if (!AreConnected(from, *to) || to->starts != to_start) return;
       At(std::max(now_, std::max(to->down_until, to->frozen_until)),
          [this, &from, to, from_start, to_start, frame] {
            if (to->starts != to_start) return;
            peer::Frame reply;
            to->limiter->OnOrders(frame, &reply, now_);
            Reply(*to, from, from_start, std::move(reply));
          });
     });
}

void LimitFleetSimulation::Reply(Node& from, Node& to, int to_start,
                                 peer::Frame frame) {
  if (frame.permits.empty() && frame.limit_notices.empty()) return;
  At(now_ + Transit(), [this, &from, &to, to_start, frame = std::move(frame)] {
    if (!AreConnected(from, to)) return;
    At(std::max(now_, to.frozen_until), [this, &from, &to, to_start, frame] {
      if (to.starts != to_start) return;
      to.limiter->OnPermits(from.name, frame, now_);
    });
  });
}

LimiterLinks LimitFleetSimulation::LinksOf(Node& node) {
  return {.reaches =
              [this](const std::string& name) {
                const Node* other = FindNode(name);
                return other != nullptr && now_ >= other->down_until;
              },
          .send =
              [this, &node](const std::string& name, const auto& add) {
                peer::Frame frame;
                add(frame);
                SendFrame(node, name, std::move(frame));
              },
          .broadcast =
              [this, &node](const auto& add) {
                for (const auto& other : nodes_) {
                  if (other.get() == &node) continue;
                  peer::Frame frame;
                  add(frame);
                  SendFrame(node, other->name, std::move(frame));
                }
              },
          .on_open = {}};
}

void LimitFleetSimulation::StartNode(Node& node) {
  ++node.starts;
  node.told_at.clear();
  node.upstreams = {};
  for (int i = 0; i < scenario_.upstreams; ++i) {
    node.upstreams.Put({.id = UpstreamName(i), .service = kService});
  }
  node.limiter = std::make_unique<UpstreamLimiter>(
      LimiterSettings{.name = node.name, .enabled = scenario_.enforced},
      node.upstreams, LinksOf(node), std::max(now_, node.down_until));
  node.reads = 0;
  node.read_at = std::max(now_, node.down_until);
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
    for (const auto& node : nodes_) {
      if (!IsRunning(*node)) continue;
      if (now_ >= node->read_at) ReadList(*node);
      if (node->limiter->has_open()) node->limiter->Tick(now_);
    }
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
  if (due(scenario_.faults.pair_cut)) {
    pair_cuts_[std::minmax(AnyNode().name, AnyNode().name)] =
        now_ + Draw(6000) * 1ms;
  }
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
  const auto deadline = now_ + kDeadline;
  Choose(node, deadline, std::make_shared<SendPermits>(*node.limiter, kService),
         [this, &node, deadline](const UpstreamPtr& upstream) {
           if (now_ > deadline) ++result_.overdue;
           if (!upstream) {
             ++result_.refused;
             return;
           }
           ++result_.served;
           Send(node, upstream);
         });
}

void LimitFleetSimulation::Choose(Node& node, Clock::time_point deadline,
                                  std::shared_ptr<SendPermits> permits,
                                  Chosen chosen) {
  // Spreads the requests over upstreams of equal load.
  for (const UpstreamPtr& u : node.upstreams.ForService(kService)) {
    u->latency_ms = 100 + Draw(100);
  }
  const auto excluded = permits->Excluded({}, now_);
  routing::ChoiceRequest request;
  request.tried = excluded;
  const UpstreamPtr upstream =
      ChooseUpstream(node.upstreams.ForService(kService), request, now_);
  if (upstream) {
    return permits->Acquire(
        upstream,
        [this, &node, start = node.starts, deadline, permits,
         chosen](const UpstreamPtr& granted) {
          if (start != node.starts) return;
          if (granted) return chosen(granted);
          Choose(node, deadline, permits, chosen);
        },
        now_);
  }
  const auto time_left =
      std::chrono::duration_cast<milliseconds>(deadline - now_);
  const bool requested = permits->AcquireAny(
      {}, {}, MaxPermitWait(milliseconds(0), time_left),
      [start = node.starts, &node, chosen](const UpstreamPtr& granted) {
        if (start == node.starts) chosen(granted);
      },
      now_);
  if (!requested) chosen(nullptr);
}

void LimitFleetSimulation::Send(Node& node, const UpstreamPtr& upstream) {
  const int start = node.starts;
  const auto sent_at = now_;
  ++upstream->in_flight;
  At(now_ + Transit(), [this, &node, start, upstream, sent_at] {
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
      At(std::max(now_ + Transit(), node.frozen_until),
         [this, &node, start, upstream, sent_at, stated] {
           Answer(node, start, upstream, sent_at, stated);
         });
    });
  });
}

void LimitFleetSimulation::Answer(Node& node, int start,
                                  const UpstreamPtr& upstream,
                                  Clock::time_point sent_at, bool stated) {
  --upstream->in_flight;
  if (start != node.starts) return;
  AnswerInfo info;
  if (stated) info.rate_limit = scenario_.per_s;
  node.limiter->OnAnswer(*upstream, 200, info, sent_at, now_);
  if (!stated) return;
  node.told_at.try_emplace(upstream->entry.id, now_);
}

int LimitFleetSimulation::MaxArrivals() {
  const auto applies_from = start_ + scenario_.limit_begins + kAppliesAfter;
  const auto applies_to = start_ + scenario_.limit_ends;
  int most = 0;
  for (int i = 0; i < scenario_.limited; ++i) {
    std::vector<Clock::time_point> counted;
    for (const Arrival& arrival : arrivals_[UpstreamName(i)]) {
      if (arrival.sender_told) counted.push_back(arrival.at);
    }
    std::ranges::sort(counted);
    for (size_t first = 0, last = 0; last < counted.size(); ++last) {
      while (counted[first] + kSpan <= counted[last]) ++first;
      if (counted[last] < applies_from || counted[last] >= applies_to) continue;
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
