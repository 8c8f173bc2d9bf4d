#include "turmeric/entry/placement_coordinator.h"

#include <algorithm>
#include <utility>

#include "turmeric/entry/entry_context.h"
#include "turmeric/entry/entry_metrics.h"
#include "turmeric/entry/upstream_choice.h"
#include "turmeric/entry/upstream_criteria.h"
#include "turmeric/routing/choice.h"
#include "turmeric/stages/shard.h"
#include "turmeric/utils/decision_log.h"

namespace turmeric::entry {

using routing::Clock;
using routing::UpstreamPtr;

namespace {

/**
 * @return time in which the engine reads the parts of the prompt that it does
 *     not hold in its cache, ms.
 */
double PromptCostMs(const peer::PlacementOrder& order,
                    const routing::ChoiceRequest& choice,
                    const routing::Upstream& engine) {
  const double shared = choice.shared_ms + choice.session_ms;
  const double own = std::max(0.0, PromptMs(order.prompt_tokens) - shared);
  return own + routing::UncachedPromptMs(choice, engine);
}

/** Fraction of an engine's memory that prompt parts are assumed to fill if the
 * memory of running requests is not considered. */
constexpr double kPartsFraction = 0.5;

/** Least time between two log lines about one service. */
constexpr std::chrono::seconds kLogInterval{1};

/**
 * @param capacity memory of an engine, tokens. Counts of a peer or a caller are
 *     limited to it.
 */
engines::TokenDemand ToTokenDemand(const peer::PlacementOrder& order,
                                   int64_t capacity) {
  const auto limited = [capacity](int64_t tokens) {
    return std::clamp<int64_t>(tokens, 0, capacity);
  };
  const int64_t shared = limited(order.shared_tokens);
  const int64_t session = limited(order.session_tokens);
  return {.shared_part = order.shared_part,
          .session_part = order.session_part,
          .shared_tokens = shared,
          .session_tokens = session,
          .own_tokens = limited(order.prompt_tokens - shared - session) +
                        limited(order.output_tokens)};
}

}  // namespace

PlacementCoordinator::PlacementCoordinator(EntryContext& context)
    : context_(context) {}

UpstreamPtr PlacementCoordinator::Place(const std::string& identity,
                                        const peer::PlacementOrder& order,
                                        Clock::time_point now) {
  const stages::Shard cell = stages::ParseShard(order.service);
  routing::ChoiceRequest choice = ToChoiceRequest(order);
  if (context_.Uses(config::Mechanism::kPromptMemory)) {
    choice.memory = &context_.prompt_memory;
  }
  choice.for_peer = !identity.empty();
  const routing::ServiceSpec* spec = context_.FindService(cell.service);
  const bool uses_room = UsesEngineRoom(context_, cell.service);
  if (uses_room) {
    choice.small_groups = true;
    choice.memory_use = {.room = &context_.engine_room,
                         .demand = ToTokenDemand(order, spec->engine_tokens),
                         .capacity = spec->engine_tokens,
                         .ms_per_token = PromptMs(1)};
  }
  choice.admits =
      [cold = context_.cold_limiter.AdmitsAsOwner(spec, order.service, now),
       now](const routing::Upstream& u) {
        const int open = std::max(u.placed, u.in_flight);
        return (!cold || cold(u)) && u.brittle.Admits(open, u.entry.slots, now);
      };
  const auto engines = stages::UpstreamsOfShard(
      cell, context_.upstreams.ForService(cell.service));
  const UpstreamPtr engine = ChooseUpstream(engines, choice, now);
  if (!engine) return nullptr;
  context_.cold_limiter.RecordSend(spec, *engine, now);
  engines::Reservation reservation;
  if (uses_room) {
    CheckRoom(cell.service, *engine, choice.memory_use, now);
    reservation = context_.engine_room.Reserve(engine->entry.id,
                                               choice.memory_use.demand);
  }
  trackers_[identity].Add(order.ticket, engine,
                          PromptCostMs(order, choice, *engine), now,
                          std::move(reservation));
  RecordPromptParts(order, *engine, now);
  return engine;
}

void PlacementCoordinator::CheckRoom(const std::string& service,
                                     const routing::Upstream& engine,
                                     const routing::RoomCriteria& memory,
                                     Clock::time_point now) {
  const std::string& id = engine.entry.id;
  if (memory.room->Fits(id, memory.demand, memory.capacity)) return;
  if (context_.metrics != nullptr) {
    context_.metrics->OnPlacementWithoutRoom(service);
  }
  const auto [logged, first] = without_room_logged_.try_emplace(service, now);
  if (!first && now - logged->second < kLogInterval) return;
  logged->second = now;
  utils::DecisionLog("engine_without_room")
      .Add("service", service)
      .Add("engine", id)
      .Add("promised", memory.room->Promised(id))
      .Add("capacity", memory.capacity)
      .Add("request", memory.room->Added(id, memory.demand));
}

void PlacementCoordinator::RecordPromptParts(const peer::PlacementOrder& order,
                                             const routing::Upstream& engine,
                                             Clock::time_point now) {
  const routing::ServiceSpec* spec = context_.FindService(engine.entry.service);
  const int64_t capacity = spec == nullptr ? 0 : spec->engine_tokens;
  if (order.shared_part.empty()) return;
  const std::string& id = engine.entry.id;
  const int64_t max_tokens =
      UsesEngineRoom(context_, engine.entry.service)
          ? capacity - context_.engine_room.Own(id)
          : static_cast<int64_t>(kPartsFraction *
                                 static_cast<double>(capacity));
  routing::PromptMemory& memory = context_.prompt_memory;
  memory.Note(id, order.shared_part, order.shared_tokens, max_tokens, now);
  memory.Note(id, order.session_part, order.session_tokens, max_tokens, now);
}

void PlacementCoordinator::OnPromptRead(const std::string& identity,
                                        uint64_t ticket) {
  const auto tracker = trackers_.find(identity);
  if (tracker != trackers_.end()) tracker->second.PromptRead(ticket);
}

void PlacementCoordinator::End(const std::string& identity,
                               const peer::PlacementEnd& end) {
  const auto tracker = trackers_.find(identity);
  if (tracker == trackers_.end()) return;
  const UpstreamPtr engine = tracker->second.End(end.ticket);
  if (!engine || !end.outcome) return;
  if (*end.outcome == routing::Outcome::kRefused) {
    engine->brittle.OnRefusal(engine->placed + 1, Clock::now());
  }
  if (identity.empty()) return;
  // The instance may be partitioned from an engine that others reach.
  if (*end.outcome == routing::Outcome::kNotSent &&
      IsReachedDirectly(engine->reach, Clock::now())) {
    return;
  }
  // The latency of the send is not known to this instance, so the latency
  // recorded before is passed again; engines are not chosen by latency.
  context_.RecordOutcome(*engine, *end.outcome, engine->latency_ms);
}

void PlacementCoordinator::DropInstance(const std::string& identity) {
  trackers_.erase(identity);
}

void PlacementCoordinator::Expire(Clock::time_point now) {
  for (auto& [identity, tracker] : trackers_) tracker.Expire(now);
  ExportPromised();
}

void PlacementCoordinator::ExportPromised() const {
  if (context_.metrics == nullptr || !context_.table) return;
  for (const auto& [name, spec] : context_.table->services) {
    if (!UsesEngineRoom(context_, name)) continue;
    int64_t promised = 0;
    for (const UpstreamPtr& u : context_.upstreams.ForService(name)) {
      promised += context_.engine_room.Promised(u->entry.id);
    }
    context_.metrics->SetTokensPromised(name, promised);
  }
}

}  // namespace turmeric::entry
