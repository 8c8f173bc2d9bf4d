#include "turmeric/entry/instance_links.h"

#include <algorithm>
#include <set>
#include <utility>

#include "turmeric/entry/entry_context.h"
#include "turmeric/routing/choice.h"
#include "turmeric/utils/decision_log.h"
#include "turmeric/utils/random_id.h"

namespace turmeric::entry {

using std::chrono::milliseconds;

namespace {

/** Enough to tell two starts of one instance apart. */
constexpr size_t kIdentityDigits = 8;
/** An instance that was not reached is tried again after this, doubled with
 * each further time. One that restarts is back within a second. */
constexpr milliseconds kFirstRetry{250};
constexpr milliseconds kLongestRetry{3000};
constexpr int kMostDoublings = 4;
/** How often instances that are down are looked at. */
constexpr milliseconds kRetryCheck{100};
/** Only an instance that something was for within this is tried again. */
constexpr milliseconds kMissedLately{10000};

}  // namespace

InstanceLinks::InstanceLinks(EntryContext& context)
    : context_(context),
      identity_(context.settings.name + "#" +
                utils::RandomHex(kIdentityDigits)) {
  retry_.setInterval(kRetryCheck);
  connect(&retry_, &QTimer::timeout, this, [this] { RetryDown(); });
}

void InstanceLinks::SetInstances(const Instances& fleet, bool listed) {
  for (const auto& [name, info] : fleet) {
    if (name == context_.settings.name) continue;
    const bool is_new = !instances_.contains(name);
    Instance& instance = instances_[name];
    instance.address = info.address;
    // A first connection tells the other that we are here (again).
    if (is_new) Connect(name, instance).outgoing();
  }
  context_.retries.NoteList(
      {.instances = static_cast<int>(instances_.size()) + 1,
       .lists_this_one = listed},
      Clock::now());
  std::set<std::string, std::less<>> others;
  for (const auto& [name, instance] : instances_) others.insert(name);
  context_.cold.set_others(std::move(others));
}

bool InstanceLinks::ReachesMost() const {
  const auto reached = std::ranges::count_if(
      instances_, [](const auto& entry) { return !entry.second.down; });
  return 2 * static_cast<size_t>(reached) >= instances_.size();
}

std::optional<std::string> InstanceLinks::OwnerOf(const std::string& key) {
  const auto now = Clock::now();
  const std::string* owner = nullptr;
  Instance* first_down = nullptr;
  uint64_t best =
      leaving_ ? 0 : routing::RendezvousWeight(key, context_.settings.name);
  uint64_t best_down = best;
  for (auto& [name, instance] : instances_) {
    if (instance.leaving) continue;
    const uint64_t weight = routing::RendezvousWeight(key, name);
    if (instance.down) {
      if (weight <= best_down) continue;
      first_down = &instance;
      best_down = weight;
    } else if (weight > best) {
      owner = &name;
      best = weight;
    }
  }
  if (first_down != nullptr && best_down > best) {
    first_down->missed = now;
    if (!retry_.isActive()) retry_.start();
  }
  if (owner == nullptr) return std::nullopt;
  return *owner;
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
       .on_flush = [this](peer::Frame& frame) { context_.news.Tell(frame); },
       .on_end = [this, name](std::string_view why) { OnEnd(name, why); }},
      this);
  // Guard: a first frame takes back what was said on an earlier link. Silent
  // on this one, an instance that leaves would be handed pieces again.
  if (leaving_) instance.link->outgoing().leaving = true;
  if (events_.on_connect) events_.on_connect(instance.link->outgoing());
  return *instance.link;
}

void InstanceLinks::TellAll(const std::function<void(peer::Frame&)>& add) {
  for (auto& [name, instance] : instances_) {
    // One that is down is told with its next connection.
    if (!instance.down) add(Connect(name, instance).outgoing());
  }
}

bool InstanceLinks::leaving(const std::string& name) const {
  const auto it = instances_.find(name);
  return it != instances_.end() && it->second.leaving;
}

void InstanceLinks::OnFrame(const std::string& name, peer::Frame&& frame) {
  Instance& instance = instances_[name];
  instance.down = false;
  instance.failures = 0;
  instance.leaving = frame.leaving || instance.leaving;
  context_.news.Hear(frame, Clock::now());
  events_.on_frame(name, std::move(frame));
}

void InstanceLinks::NoteDown(Instance& instance) {
  instance.down = true;
  const int doublings = std::min(instance.failures++, kMostDoublings);
  instance.retry_at =
      Clock::now() + std::min(kFirstRetry * (1 << doublings), kLongestRetry);
  if (!retry_.isActive()) retry_.start();
}

void InstanceLinks::OnEnd(const std::string& name, std::string_view why) {
  Instance& instance = instances_[name];
  // Guard: a reset of a connection says nothing of the instance behind it.
  // Taken as its loss, its pieces would be made twice, and for seconds two
  // owners would fill half calls each. It is tried once more.
  const bool again_there =
      instance.link->has_received() && !instance.link->ack_timed_out();
  std::exchange(instance.link, nullptr)->deleteLater();
  instance.leaving = false;
  if (!again_there) NoteDown(instance);
  utils::DecisionLog("peer_lost")
      .Add("peer", name)
      .Add("why", why)
      .Add("tried_again", again_there);
  events_.on_lost(name, again_there);
}

void InstanceLinks::GiveUp(const std::string& name) {
  const auto it = instances_.find(name);
  if (it == instances_.end() || it->second.link == nullptr) return;
  it->second.link->Close();
  std::exchange(it->second.link, nullptr)->deleteLater();
  NoteDown(it->second);
  events_.on_lost(name, false);
}

// Guard: an instance that was not reached is greeted before it is given work
// again. With the work itself sent to try it, each try at one that is gone
// would hold up requests for as long as a connection takes to fail.
void InstanceLinks::RetryDown() {
  const auto now = Clock::now();
  bool any_missed = false;
  for (auto& [name, instance] : instances_) {
    if (!instance.down || now - instance.missed > kMissedLately) continue;
    any_missed = true;
    if (instance.link != nullptr || now < instance.retry_at) continue;
    Connect(name, instance).RequestAck();
  }
  if (!any_missed) retry_.stop();
}

void InstanceLinks::OnSeen(const std::string& name, Presence presence) {
  const auto it = instances_.find(name);
  if (it == instances_.end()) return;
  it->second.leaving = presence == Presence::kLeaving;
  if (presence != Presence::kHere) return;
  it->second.down = false;
  it->second.failures = 0;
}

void InstanceLinks::Leave() {
  leaving_ = true;
  for (auto& [name, instance] : instances_) {
    if (instance.link != nullptr) instance.link->outgoing().leaving = true;
  }
}

}  // namespace turmeric::entry
