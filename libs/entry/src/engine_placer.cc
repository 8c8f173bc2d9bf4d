#include "turmeric/entry/engine_placer.h"

#include <algorithm>
#include <utility>
#include <vector>

#include "turmeric/entry/entry_context.h"
#include "turmeric/entry/instance_links.h"
#include "turmeric/entry/placement_coordinator.h"
#include "turmeric/entry/upstream_choice.h"
#include "turmeric/entry/upstream_criteria.h"
#include "turmeric/stages/shard.h"
#include "turmeric/utils/decision_log.h"

namespace turmeric::entry {

using routing::Clock;
using routing::UpstreamPtr;
using std::chrono::milliseconds;

namespace {

/**
 * Time limit for the owner's answer to an order. The round trip takes a few
 * milliseconds, and the owner's choice can save some tens of milliseconds of
 * waiting.
 */
constexpr milliseconds kOwnerTimeout{60};

}  // namespace

/** One placement, from the order until the request has ended. */
struct EnginePlacer::OpenPlacement {
  peer::PlacementOrder order;
  ChosenCallback done;  ///< Empty once called.
  /**
   * Instance that received the order; empty: this instance, or the owner was
   * lost.
   */
  std::string owner;
  Clock::time_point ordered_at;
};

EnginePlacer::EnginePlacer(EntryContext& context, InstanceLinks& links,
                           PlacementCoordinator& coordinator)
    : context_(context), links_(links), coordinator_(coordinator) {
  overdue_timer_.setSingleShot(true);
  connect(&overdue_timer_, &QTimer::timeout, this, [this] { CheckOverdue(); });
}

EnginePlacer::~EnginePlacer() = default;

void EnginePlacer::Choose(peer::PlacementOrder order, ChosenCallback done,
                          const std::string& spread_key) {
  const uint64_t ticket = order.ticket;
  const std::string& prompt_key =
      order.session_part.empty() ? order.shared_part : order.session_part;
  const std::string& key = prompt_key.empty() ? spread_key : prompt_key;
  order.service = stages::CellName(
      order.service, key, context_.upstreams.ForService(order.service).size());
  const bool asks_owner = context_.Uses(config::Mechanism::kOneOwnerPlaces);
  const auto owner = links_.OwnerOf(order.service);
  OpenPlacement& open = open_[ticket];
  open = {std::move(order), std::move(done), {}, Clock::now()};
  if (!asks_owner) return ChooseLocally(ticket, "switched_off");
  peer::PeerLink* link = owner ? links_.Open(*owner) : nullptr;
  if (link == nullptr) {
    const UpstreamPtr engine =
        coordinator_.Place({}, open.order, open.ordered_at);
    if (!engine) return ChooseLocally(ticket, "cell_empty");
    return Complete(ticket, engine);
  }
  open.owner = *owner;
  link->outgoing().placements.push_back(open.order);
  if (!overdue_timer_.isActive()) overdue_timer_.start(kOwnerTimeout);
}

// The owner may choose upstreams that have been removed since or that fail when
// this instance uses them.
bool EnginePlacer::IsUsable(const OpenPlacement& open,
                            const UpstreamPtr& engine) const {
  const auto now = Clock::now();
  return engine && MaySend(*engine, now) && !IsAvoided(*engine, now) &&
         HasVersion(*engine, open.order.version) &&
         std::ranges::count(open.order.excluded, engine->entry.id) == 0;
}

void EnginePlacer::OnPlaced(std::span<const peer::Placed> placed) {
  for (const peer::Placed& p : placed) {
    const auto it = open_.find(p.ticket);
    if (it == open_.end() || !it->second.done) continue;
    const UpstreamPtr engine = context_.upstreams.Find(p.upstream);
    if (IsUsable(it->second, engine)) {
      Complete(p.ticket, engine);
    } else {
      ChooseLocally(p.ticket, "not_usable");
    }
  }
}

void EnginePlacer::ChooseLocally(uint64_t ticket, std::string_view why) {
  const OpenPlacement& open = open_.at(ticket);
  utils::DecisionLog("engine_chosen_alone")
      .Add("service", open.order.service)
      .Add("owner", open.owner)
      .Add("why", why);
  const std::string service = stages::ParseShard(open.order.service).service;
  Complete(
      ticket,
      entry::ChooseLocally(
          context_, {.service = service, .fingerprint = {}, .has_owner = true},
          ToChoiceRequest(open.order)));
}

void EnginePlacer::Complete(uint64_t ticket, const UpstreamPtr& engine) {
  const ChosenCallback done = std::exchange(open_.at(ticket).done, nullptr);
  done(engine);
}

void EnginePlacer::CheckOverdue() {
  const auto now = Clock::now();
  std::vector<uint64_t> overdue;
  for (const auto& [ticket, open] : open_) {
    if (!open.done) continue;
    if (now - open.ordered_at < kOwnerTimeout) {
      overdue_timer_.start(kOwnerTimeout);
      break;
    }
    overdue.push_back(ticket);
  }
  for (const uint64_t ticket : overdue) {
    if (open_.contains(ticket)) ChooseLocally(ticket, "no_answer");
  }
}

void EnginePlacer::OnOwnerLost(std::string_view owner) {
  std::vector<uint64_t> unanswered;
  for (auto& [ticket, open] : open_) {
    if (open.owner != owner) continue;
    if (open.done) unanswered.push_back(ticket);
    open.owner.clear();
  }
  for (const uint64_t ticket : unanswered) {
    if (open_.contains(ticket)) ChooseLocally(ticket, "owner_lost");
  }
}

void EnginePlacer::OnPromptRead(uint64_t ticket) {
  const auto it = open_.find(ticket);
  if (it == open_.end()) return;
  if (peer::PeerLink* link = links_.Find(it->second.owner)) {
    link->outgoing().prompts_read.push_back(ticket);
  } else {
    coordinator_.OnPromptRead({}, ticket);
  }
}

void EnginePlacer::End(const peer::PlacementEnd& end) {
  const auto it = open_.find(end.ticket);
  if (it == open_.end()) return;
  if (peer::PeerLink* link = links_.Find(it->second.owner)) {
    link->outgoing().ended.push_back(end);
  } else {
    coordinator_.End({}, end);
  }
  open_.erase(it);
}

}  // namespace turmeric::entry
