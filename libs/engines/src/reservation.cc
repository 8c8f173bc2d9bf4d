#include "turmeric/engines/reservation.h"

#include <algorithm>
#include <utility>

#include "turmeric/engines/engine_room.h"

namespace turmeric::engines {

Reservation::Reservation(std::shared_ptr<Room> room, const TokenDemand& demand)
    : room_(std::move(room)),
      shared_part_(demand.shared_part),
      session_part_(demand.session_part),
      own_tokens_(std::max<int64_t>(0, demand.own_tokens)) {
  room_->own_tokens += own_tokens_;
  Use(shared_part_, demand.shared_tokens);
  Use(session_part_, demand.session_tokens);
}

Reservation::Reservation(Reservation&& other) noexcept
    : room_(std::exchange(other.room_, nullptr)),
      shared_part_(std::move(other.shared_part_)),
      session_part_(std::move(other.session_part_)),
      own_tokens_(std::exchange(other.own_tokens_, 0)) {}

Reservation& Reservation::operator=(Reservation&& other) noexcept {
  if (this == &other) return *this;
  Free();
  room_ = std::exchange(other.room_, nullptr);
  shared_part_ = std::move(other.shared_part_);
  session_part_ = std::move(other.session_part_);
  own_tokens_ = std::exchange(other.own_tokens_, 0);
  return *this;
}

void Reservation::Use(std::string_view part, int64_t tokens) {
  if (part.empty()) return;
  Room::Part& used = room_->parts.try_emplace(std::string(part)).first->second;
  if (used.open++ > 0) return;
  used.tokens = std::max<int64_t>(0, tokens);
  room_->part_tokens += used.tokens;
}

void Reservation::Leave(std::string_view part) {
  const auto it = room_->parts.find(part);
  if (it == room_->parts.end() || --it->second.open > 0) return;
  room_->part_tokens -= it->second.tokens;
  room_->parts.erase(it);
}

void Reservation::Free() {
  if (!room_) return;
  room_->own_tokens -= own_tokens_;
  Leave(shared_part_);
  Leave(session_part_);
  room_ = nullptr;
}

}  // namespace turmeric::engines
