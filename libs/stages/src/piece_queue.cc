#include "turmeric/stages/piece_queue.h"

#include <algorithm>
#include <utility>

namespace turmeric::stages {

namespace {

/** How much later a piece counts as due for each step down in rank. */
constexpr std::chrono::milliseconds kRankStep{250};
/** How much later a piece counts as due once its latency target is lost:
 * longer than most requests wait at all, so that none that can be in time
 * waits for one that is late anyway. With 3 s, the late ones of a sustained
 * overload came back ahead of new ones, and at 1.05 times the load that the
 * upstreams carry 985 of 6,011 were in time instead of 5,041 (replay in
 * stage_times_test). */
constexpr std::chrono::milliseconds kMissedTarget{10000};
/** How much later a piece counts as due at an upstream of another zone than
 * the one it is wanted in, at the least. */
constexpr std::chrono::milliseconds kOtherZone{120};
/** How much later still while it has time to spare: about one more call.
 * Results that cross zones are dear; with a queue to choose from, most pieces
 * find an upstream of their zone in time. Chosen by the price for results of
 * a quiet day, 0.10 of all worth without it and 0.09 with it. */
constexpr std::chrono::milliseconds kOtherZoneWithTime{400};
/** A piece waits for an upstream of its zone while it has so much time to
 * spare beyond a call: about one more call. */
constexpr std::chrono::milliseconds kZoneWait{300};

/** @return true if the piece had better be made in another zone. */
bool IsOutOfZone(const Piece& piece, const CallSpace& space) {
  return !piece.zone.empty() && piece.zone != space.zone;
}

/** @return true if the piece can wait for an upstream of its zone. */
bool MayWaitForItsZone(const Piece& piece, const CallSpace& space,
                       Clock::time_point now) {
  return std::ranges::count(space.other_zones, piece.zone) > 0 &&
         now + space.call_time + kZoneWait < piece.due;
}

/** @return true if what follows the piece has work enough for now. */
bool IsBackedUp(const Piece& piece, const CallSpace& space) {
  return std::ranges::any_of(
      piece.next_services, [&](const std::string& service) {
        return std::ranges::count(space.backed_up, service) > 0;
      });
}

}  // namespace

Clock::time_point Urgency(const Piece& piece,
                          std::chrono::milliseconds call_time,
                          Clock::time_point now) {
  Clock::time_point key = piece.due + kRankStep * piece.rank;
  if (now + call_time > piece.due) key += kMissedTarget;
  return key;
}

uint64_t PieceQueue::Push(Piece piece, PieceEvents events) {
  const uint64_t ticket = next_ticket_++;
  waiting_.push_back({ticket, std::move(piece), std::move(events), 0});
  return ticket;
}

void PieceQueue::PushBack(QueuedPiece piece) {
  waiting_.push_back(std::move(piece));
}

bool PieceQueue::Cancel(uint64_t ticket) {
  return std::erase_if(waiting_, [&](const QueuedPiece& q) {
           return q.ticket == ticket;
         }) > 0;
}

std::vector<QueuedPiece> PieceQueue::TakeCall(const CallSpace& space,
                                              Clock::time_point now) {
  using Iterator = std::list<QueuedPiece>::iterator;
  std::vector<std::pair<Clock::time_point, Iterator>> order;
  order.reserve(waiting_.size());
  // With more waiting than one call holds, an upstream that idles for the
  // sake of zones costs more than it saves.
  const bool may_idle = static_cast<int>(waiting_.size()) <= space.pieces;
  for (auto it = waiting_.begin(); it != waiting_.end(); ++it) {
    if (IsBackedUp(it->piece, space)) continue;
    Clock::time_point key = Urgency(it->piece, space.call_time, now);
    if (IsOutOfZone(it->piece, space)) {
      key += kOtherZone;
      if (MayWaitForItsZone(it->piece, space, now)) {
        if (may_idle) continue;
        key += kOtherZoneWithTime;
      }
    }
    order.emplace_back(key, it);
  }
  std::ranges::stable_sort(order, {},
                           &std::pair<Clock::time_point, Iterator>::first);
  std::vector<QueuedPiece> call;
  int64_t room = space.room_bytes;
  for (const auto& [key, it] : order) {
    if (static_cast<int>(call.size()) >= space.pieces) break;
    if (it->piece.result_bytes > room) continue;
    room -= it->piece.result_bytes;
    call.push_back(std::move(*it));
    waiting_.erase(it);
  }
  return call;
}

std::vector<QueuedPiece> PieceQueue::TakeHopeless(
    std::chrono::milliseconds call_time, Clock::time_point now) {
  std::vector<QueuedPiece> hopeless;
  for (auto it = waiting_.begin(); it != waiting_.end();) {
    if (now + call_time <= it->piece.deadline) {
      ++it;
      continue;
    }
    hopeless.push_back(std::move(*it));
    it = waiting_.erase(it);
  }
  return hopeless;
}

size_t PieceQueue::CountBefore(Clock::time_point key, Clock::time_point now,
                               std::chrono::milliseconds call_time) const {
  return static_cast<size_t>(
      std::ranges::count_if(waiting_, [&](const QueuedPiece& q) {
        return Urgency(q.piece, call_time, now) <= key;
      }));
}

}  // namespace turmeric::stages
