#include "turmeric/entry/engine_placer.h"

#include <algorithm>
#include <utility>
#include <vector>

#include "turmeric/entry/entry_context.h"
#include "turmeric/entry/instance_links.h"
#include "turmeric/entry/placement_coordinator.h"
#include "turmeric/entry/upstream_criteria.h"
#include "turmeric/routing/choice.h"
#include "turmeric/stages/shard.h"
#include "turmeric/utils/decision_log.h"

namespace turmeric::entry {

using routing::Clock;
using routing::UpstreamPtr;
using std::chrono::milliseconds;

namespace {

/** Longest wait for the owner's choice: the way there and back is a few
 * milliseconds, and what it can save is some tens. */
constexpr milliseconds kAnswerWithin{60};

}  // namespace

/** One request's placement. */
struct EnginePlacer::Open {
  peer::PlacementOrder order;
  Chosen done;        ///< Empty once told.
  std::string owner;  ///< Whom we asked; empty: our own desk, or nobody.
  Clock::time_point asked;
};

EnginePlacer::EnginePlacer(EntryContext& context, InstanceLinks& links,
                           PlacementDesk& desk)
    : context_(context), links_(links), desk_(desk) {
  overdue_.setSingleShot(true);
  connect(&overdue_, &QTimer::timeout, this, [this] { CheckOverdue(); });
}

EnginePlacer::~EnginePlacer() = default;

void EnginePlacer::Choose(peer::PlacementOrder order, Chosen done) {
  const uint64_t ticket = order.ticket;
  const std::string& key =
      order.session_part.empty() ? order.shared_part : order.session_part;
  order.service = stages::CellName(
      order.service, key, context_.upstreams.ForService(order.service).size());
  const bool asks = context_.Uses(config::Mechanism::kOneOwnerPlaces);
  const auto owner = links_.OwnerOf(order.service);
  Open& open = open_[ticket];
  open = {std::move(order), std::move(done), {}, Clock::now()};
  if (!asks) return ChooseHere(ticket, "switched_off");
  peer::PeerLink* link = owner ? links_.Open(*owner) : nullptr;
  if (link == nullptr) {
    const UpstreamPtr engine = desk_.Place({}, open.order, open.asked);
    if (!engine) return ChooseHere(ticket, "cell_empty");
    return Answer(ticket, engine);
  }
  open.owner = *owner;
  link->outgoing().placements.push_back(open.order);
  if (!overdue_.isActive()) overdue_.start(kAnswerWithin);
}

// The owner may know upstreams that have left since, or that fail here.
bool EnginePlacer::IsUsable(const Open& open, const UpstreamPtr& engine) const {
  const auto now = Clock::now();
  return engine && IsListed(*engine, now) && !IsAvoided(*engine, now) &&
         std::ranges::count(open.order.excluded, engine->entry.id) == 0;
}

void EnginePlacer::OnPlaced(std::span<const peer::Placed> placed) {
  for (const peer::Placed& p : placed) {
    const auto it = open_.find(p.ticket);
    if (it == open_.end() || !it->second.done) continue;
    const UpstreamPtr engine = context_.upstreams.Find(p.upstream);
    if (IsUsable(it->second, engine)) {
      Answer(p.ticket, engine);
    } else {
      ChooseHere(p.ticket, "not_usable");
    }
  }
}

void EnginePlacer::ChooseHere(uint64_t ticket, std::string_view why) {
  const Open& open = open_.at(ticket);
  utils::DecisionLog("engine_chosen_alone")
      .Add("service", open.order.service)
      .Add("owner", open.owner)
      .Add("why", why);
  const std::string service = stages::ParseShard(open.order.service).service;
  const auto now = Clock::now();
  const routing::ServiceSpec* spec = context_.FindService(service);
  routing::ChoiceRequest choice = ToChoice(open.order);
  choice.admits = context_.cold.Alone(spec, now);
  const UpstreamPtr engine =
      ChooseUpstream(context_.upstreams.ForService(service), choice, now);
  if (engine) context_.cold.NoteSend(spec, *engine, now);
  Answer(ticket, engine);
}

void EnginePlacer::Answer(uint64_t ticket, const UpstreamPtr& engine) {
  const Chosen done = std::exchange(open_.at(ticket).done, nullptr);
  done(engine);
}

void EnginePlacer::CheckOverdue() {
  const auto now = Clock::now();
  std::vector<uint64_t> overdue;
  for (const auto& [ticket, open] : open_) {
    if (!open.done) continue;
    if (now - open.asked < kAnswerWithin) {
      overdue_.start(kAnswerWithin);
      break;
    }
    overdue.push_back(ticket);
  }
  for (const uint64_t ticket : overdue) {
    if (open_.contains(ticket)) ChooseHere(ticket, "no_answer");
  }
}

void EnginePlacer::OnOwnerLost(std::string_view owner) {
  std::vector<uint64_t> there;
  for (auto& [ticket, open] : open_) {
    if (open.owner != owner) continue;
    if (open.done) there.push_back(ticket);
    open.owner.clear();
  }
  for (const uint64_t ticket : there) {
    if (open_.contains(ticket)) ChooseHere(ticket, "owner_lost");
  }
}

void EnginePlacer::PromptRead(uint64_t ticket) {
  const auto it = open_.find(ticket);
  if (it == open_.end()) return;
  if (peer::PeerLink* link = links_.Find(it->second.owner)) {
    link->outgoing().prompts_read.push_back(ticket);
  } else {
    desk_.PromptRead({}, ticket);
  }
}

void EnginePlacer::End(const peer::PlacementEnd& end) {
  const auto it = open_.find(end.ticket);
  if (it == open_.end()) return;
  if (peer::PeerLink* link = links_.Find(it->second.owner)) {
    link->outgoing().ended.push_back(end);
  } else {
    desk_.End({}, end);
  }
  open_.erase(it);
}

}  // namespace turmeric::entry
