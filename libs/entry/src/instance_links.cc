#include "turmeric/entry/instance_links.h"

#include <algorithm>
#include <functional>
#include <iterator>
#include <set>
#include <utility>

#include "turmeric/entry/entry_context.h"
#include "turmeric/routing/choice.h"
#include "turmeric/utils/decision_log.h"
#include "turmeric/utils/random_id.h"

namespace turmeric::entry {

using std::chrono::milliseconds;

namespace {

/**
 * Random hex digits in the identity of an instance, to distinguish its process
 * starts.
 */
constexpr size_t kIncarnationDigits = 8;
/**
 * Delay before a new attempt to connect to an unreachable instance, doubled
 * with each further failure. A restarting instance accepts connections within a
 * second.
 */
constexpr milliseconds kMinRetryDelay{250};
constexpr milliseconds kMaxRetryDelay{3000};
constexpr int kMaxDoublings = 4;
/** Interval at which unreachable instances are checked for a due attempt. */
constexpr milliseconds kRetryCheckInterval{100};
/**
 * Only an instance that would have been an owner within this time is retried.
 */
constexpr milliseconds kWantedWindow{10000};

}  // namespace

InstanceLinks::InstanceLinks(EntryContext& context)
    : context_(context),
      identity_(context.settings.name + "#" +
                utils::RandomHex(kIncarnationDigits)) {
  retry_timer_.setInterval(kRetryCheckInterval);
  connect(&retry_timer_, &QTimer::timeout, this,
          [this] { RetryUnreachable(); });
}

void InstanceLinks::SetInstances(const Instances& fleet, bool listed) {
  for (const auto& [name, info] : fleet) {
    if (name == context_.settings.name) continue;
    const bool is_new = !instances_.contains(name);
    Instance& instance = instances_[name];
    instance.address = info.address;
    // The first connection notifies the peer instance that this one has
    // started.
    if (is_new) Connect(name, instance).outgoing();
  }
  context_.retries.OnFleetList(
      {.instances = static_cast<int>(instances_.size()) + 1,
       .self_listed = listed},
      Clock::now());
  std::set<std::string, std::less<>> others;
  for (const auto& [name, instance] : instances_) others.insert(name);
  context_.cold_limiter.set_other_instances(std::move(others));
}

bool InstanceLinks::ReachesMost() const {
  const auto reached = std::ranges::count_if(
      instances_, [](const auto& entry) { return !entry.second.unreachable; });
  return 2 * static_cast<size_t>(reached) >= instances_.size();
}

bool InstanceLinks::Reaches(const std::string& name) {
  const auto it = instances_.find(name);
  if (it == instances_.end()) return false;
  if (it->second.unreachable) RetryWanted(it->second);
  return !it->second.unreachable;
}

void InstanceLinks::RetryWanted(Instance& instance) {
  instance.last_needed = Clock::now();
  if (!retry_timer_.isActive()) retry_timer_.start();
}

std::optional<std::string> InstanceLinks::OwnerOf(const std::string& key) {
  const std::string* owner = nullptr;
  Instance* first_unreachable = nullptr;
  uint64_t best =
      leaving_ ? 0 : routing::RendezvousWeight(key, context_.settings.name);
  uint64_t best_unreachable = best;
  for (auto& [name, instance] : instances_) {
    if (instance.leaving) continue;
    const uint64_t weight = routing::RendezvousWeight(key, name);
    if (instance.unreachable) {
      if (weight <= best_unreachable) continue;
      first_unreachable = &instance;
      best_unreachable = weight;
    } else if (weight > best) {
      owner = &name;
      best = weight;
    }
  }
  if (first_unreachable != nullptr && best_unreachable > best) {
    RetryWanted(*first_unreachable);
  }
  if (owner == nullptr) return std::nullopt;
  return *owner;
}

std::vector<std::string> InstanceLinks::HoldersOf(const std::string& key,
                                                  size_t count,
                                                  bool with_leaving) const {
  std::vector<std::pair<uint64_t, const std::string*>> weights;
  for (const auto& [name, instance] : instances_) {
    if (instance.unreachable) continue;
    if (instance.leaving && !with_leaving) continue;
    weights.emplace_back(routing::RendezvousWeight(key, name), &name);
  }
  std::ranges::sort(weights, std::ranges::greater());
  if (weights.size() > count) weights.resize(count);
  std::vector<std::string> names;
  std::ranges::transform(weights, std::back_inserter(names),
                         [](const auto& entry) { return *entry.second; });
  return names;
}

std::vector<std::string> InstanceLinks::Successors(size_t count) const {
  std::vector<std::string> names;
  const auto add = [&names, count](const auto& entry) {
    if (names.size() < count && !entry.second.unreachable) {
      names.push_back(entry.first);
    }
  };
  const auto next = instances_.upper_bound(context_.settings.name);
  std::for_each(next, instances_.end(), add);
  std::for_each(instances_.begin(), next, add);
  return names;
}

peer::PeerLink* InstanceLinks::Open(const std::string& name) {
  const auto it = instances_.find(name);
  return it == instances_.end() ? nullptr : &Connect(name, it->second);
}

peer::PeerLink* InstanceLinks::Find(const std::string& name) {
  const auto it = instances_.find(name);
  return it == instances_.end() ? nullptr : it->second.link;
}

peer::PeerLink& InstanceLinks::Connect(const std::string& name,
                                       Instance& instance) {
  if (instance.link != nullptr) return *instance.link;
  instance.link = new peer::PeerLink(
      http::ParseEndpoint(instance.address), identity_,
      {.on_frame =
           [this, name](peer::Frame&& frame) {
             OnFrame(name, std::move(frame));
           },
       .on_flush =
           [this](peer::Frame& frame) {
             context_.revision_gossip.AddTo(frame);
           },
       .on_end = [this, name](std::string_view why) { OnEnd(name, why); }},
      this);
  // The first frame on a new connection replaces the state announced on an
  // earlier one. Without the flag, peer instances would send pieces to this
  // instance again while it is stopping.
  if (leaving_) instance.link->outgoing().leaving = true;
  if (events_.on_connect) events_.on_connect(instance.link->outgoing());
  return *instance.link;
}

void InstanceLinks::Broadcast(const std::function<void(peer::Frame&)>& add) {
  for (auto& [name, instance] : instances_) {
    // An unreachable instance is notified on its next connection.
    if (!instance.unreachable) add(Connect(name, instance).outgoing());
  }
}

bool InstanceLinks::leaving(const std::string& name) const {
  const auto it = instances_.find(name);
  return it != instances_.end() && it->second.leaving;
}

void InstanceLinks::OnFrame(const std::string& name, peer::Frame&& frame) {
  Instance& instance = instances_[name];
  instance.unreachable = false;
  instance.failures = 0;
  instance.leaving = frame.leaving || instance.leaving;
  context_.revision_gossip.ReadFrom(frame, Clock::now());
  events_.on_frame(name, std::move(frame));
}

void InstanceLinks::MarkUnreachable(Instance& instance) {
  instance.unreachable = true;
  const int doublings = std::min(instance.failures++, kMaxDoublings);
  instance.retry_at = Clock::now() + std::min(kMinRetryDelay * (1 << doublings),
                                              kMaxRetryDelay);
  if (!retry_timer_.isActive()) retry_timer_.start();
}

void InstanceLinks::OnEnd(const std::string& name, std::string_view why) {
  Instance& instance = instances_[name];
  // A reset connection does not mean that the instance has failed, so the
  // instance is not marked as unreachable: otherwise its pieces would be run
  // twice, and for seconds two owners would each send half-full batches. The
  // next frame to the instance opens a new connection.
  const bool was_reset =
      instance.link->has_received() && !instance.link->ack_timed_out();
  std::exchange(instance.link, nullptr)->deleteLater();
  instance.leaving = false;
  if (!was_reset) MarkUnreachable(instance);
  utils::DecisionLog("peer_lost")
      .Add("peer", name)
      .Add("why", why)
      .Add("tried_again", was_reset);
  events_.on_lost(name, was_reset);
}

void InstanceLinks::CloseUnresponsive(const std::string& name) {
  const auto it = instances_.find(name);
  if (it == instances_.end() || it->second.link == nullptr) return;
  it->second.link->Close();
  std::exchange(it->second.link, nullptr)->deleteLater();
  MarkUnreachable(it->second);
  events_.on_lost(name, false);
}

// An unreachable instance must respond to a greeting before it becomes an owner
// again. If pieces or orders were sent as a probe, each attempt at an instance
// that has exited would delay requests until the connection attempt fails.
void InstanceLinks::RetryUnreachable() {
  const auto now = Clock::now();
  bool any_wanted = false;
  for (auto& [name, other] : instances_) {
    if (!other.unreachable || now - other.last_needed > kWantedWindow) continue;
    any_wanted = true;
    if (other.link != nullptr || now < other.retry_at) continue;
    Connect(name, other).RequestAck();
  }
  if (!any_wanted) retry_timer_.stop();
}

void InstanceLinks::OnPresence(const std::string& name, Presence presence) {
  const auto it = instances_.find(name);
  if (it == instances_.end()) return;
  it->second.leaving = presence == Presence::kLeaving;
  if (presence != Presence::kConnected) return;
  it->second.unreachable = false;
  it->second.failures = 0;
}

void InstanceLinks::Leave() {
  leaving_ = true;
  for (auto& [name, instance] : instances_) {
    if (instance.link != nullptr) instance.link->outgoing().leaving = true;
  }
}

size_t InstanceLinks::buffered() const {
  size_t bytes = 0;
  for (const auto& [name, instance] : instances_) {
    if (instance.link != nullptr) bytes += instance.link->buffered();
  }
  return bytes;
}

}  // namespace turmeric::entry
