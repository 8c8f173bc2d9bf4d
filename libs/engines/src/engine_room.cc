#include "turmeric/engines/engine_room.h"

#include <algorithm>
#include <numeric>

namespace turmeric::engines {

namespace {

/** Fraction of an engine's memory that is promised: outputs exceed their
 * estimate in one of five requests. */
constexpr double kUsableFraction = 0.95;

/** @return tokens of the part that are not held for an open request. */
int64_t AddedBy(const Room* room, std::string_view part, int64_t tokens) {
  if (part.empty()) return 0;
  if (room != nullptr && room->parts.contains(part)) return 0;
  return std::max<int64_t>(0, tokens);
}

int64_t AddedTo(const Room* room, const TokenDemand& demand) {
  int64_t added = std::max<int64_t>(0, demand.own_tokens) +
                  AddedBy(room, demand.shared_part, demand.shared_tokens);
  if (demand.session_part != demand.shared_part) {
    added += AddedBy(room, demand.session_part, demand.session_tokens);
  }
  return added;
}

int64_t PromisedAt(const Room* room) {
  return room == nullptr ? 0 : room->part_tokens + room->own_tokens;
}

}  // namespace

const Room* EngineRoom::Find(std::string_view engine) const {
  const auto it = rooms_.find(engine);
  return it == rooms_.end() ? nullptr : it->second.get();
}

int64_t EngineRoom::Added(std::string_view engine,
                          const TokenDemand& demand) const {
  return AddedTo(Find(engine), demand);
}

bool EngineRoom::Fits(std::string_view engine, const TokenDemand& demand,
                      int64_t capacity) const {
  const Room* room = Find(engine);
  return static_cast<double>(PromisedAt(room) + AddedTo(room, demand)) <=
         kUsableFraction * static_cast<double>(capacity);
}

int64_t EngineRoom::Promised(std::string_view engine) const {
  return PromisedAt(Find(engine));
}

int64_t EngineRoom::Own(std::string_view engine) const {
  const Room* room = Find(engine);
  return room == nullptr ? 0 : room->own_tokens;
}

int64_t EngineRoom::Promised() const {
  return std::accumulate(rooms_.begin(), rooms_.end(), int64_t{0},
                         [](int64_t sum, const auto& entry) {
                           return sum + entry.second->part_tokens +
                                  entry.second->own_tokens;
                         });
}

Reservation EngineRoom::Reserve(const std::string& engine,
                                const TokenDemand& demand) {
  std::shared_ptr<Room>& room = rooms_[engine];
  if (!room) room = std::make_shared<Room>();
  return {room, demand};
}

void EngineRoom::Reset(std::string_view engine) {
  const auto it = rooms_.find(engine);
  if (it != rooms_.end()) rooms_.erase(it);
}

}  // namespace turmeric::engines
