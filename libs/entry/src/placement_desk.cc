#include "turmeric/entry/placement_desk.h"

#include <algorithm>

#include "turmeric/entry/entry_context.h"
#include "turmeric/entry/wanted_upstream.h"
#include "turmeric/routing/choice.h"
#include "turmeric/stages/shard.h"

namespace turmeric::entry {

using routing::Clock;
using routing::UpstreamPtr;

namespace {

/** @return time in which the engine reads what it does not hold, ms. */
double ReadingMs(const peer::PlacementOrder& order,
                 const routing::ChoiceRequest& choice,
                 const routing::Upstream& engine) {
  const double shared = choice.shared_ms + choice.session_ms;
  const double own = std::max(0.0, PromptMs(order.prompt_tokens) - shared);
  return own + routing::UncachedPromptMs(choice, engine);
}

}  // namespace

PlacementDesk::PlacementDesk(EntryContext& context) : context_(context) {}

UpstreamPtr PlacementDesk::Place(const std::string& guest,
                                 const peer::PlacementOrder& order,
                                 Clock::time_point now) {
  const stages::Shard cell = stages::ParseShard(order.service);
  routing::ChoiceRequest choice = ToChoice(order);
  if (context_.Uses(config::Mechanism::kPromptMemory)) {
    choice.memory = &context_.prompt_memory;
  }
  const routing::ServiceSpec* spec = context_.FindService(cell.service);
  choice.admits = context_.cold.AsOwner(spec, order.service, now);
  const auto engines = stages::UpstreamsOfShard(
      cell, context_.upstreams.ForService(cell.service));
  const UpstreamPtr engine = ChooseUpstream(engines, choice, now);
  if (!engine) return nullptr;
  context_.cold.NoteSend(spec, *engine, now);
  books_[guest].Add(order.ticket, engine, ReadingMs(order, choice, *engine),
                    now);
  Remember(order, *engine);
  return engine;
}

void PlacementDesk::Remember(const peer::PlacementOrder& order,
                             const routing::Upstream& engine) {
  const routing::ServiceSpec* spec = context_.FindService(engine.entry.service);
  const int64_t capacity = spec == nullptr ? 0 : spec->engine_tokens;
  const std::string& id = engine.entry.id;
  routing::PromptMemory& memory = context_.prompt_memory;
  memory.Note(id, order.shared_part, order.shared_tokens, capacity);
  memory.Note(id, order.session_part, order.session_tokens, capacity);
}

void PlacementDesk::PromptRead(const std::string& guest, uint64_t ticket) {
  const auto book = books_.find(guest);
  if (book != books_.end()) book->second.PromptRead(ticket);
}

void PlacementDesk::End(const std::string& guest,
                        const peer::PlacementEnd& end) {
  const auto book = books_.find(guest);
  if (book == books_.end()) return;
  const UpstreamPtr engine = book->second.End(end.ticket);
  if (!engine || guest.empty() || !end.outcome) return;
  // The latency is not known here, and engines are not chosen by it.
  context_.Note(*engine, *end.outcome, engine->latency_ms);
}

void PlacementDesk::Forget(const std::string& guest) { books_.erase(guest); }

void PlacementDesk::Expire(Clock::time_point now) {
  for (auto& [guest, book] : books_) book.Expire(now);
}

}  // namespace turmeric::entry
