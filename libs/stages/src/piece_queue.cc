#include "turmeric/stages/piece_queue.h"

#include <algorithm>
#include <iterator>
#include <optional>
#include <utility>

namespace turmeric::stages {

using std::chrono::milliseconds;

namespace {

/** How much later a piece counts as due for each step down in rank. */
constexpr milliseconds kRankStep{250};
/** How much later a piece counts as due at an upstream of another zone than
 * the one it is wanted in, at the least. */
constexpr milliseconds kOtherZone{120};
/** How much later still while it has time to spare: about one more call.
 * Results that cross zones are dear; with a queue to choose from, most pieces
 * find an upstream of their zone in time. */
constexpr milliseconds kOtherZoneWithTime{400};
/** A piece waits for an upstream of its zone while it has so much time to
 * spare beyond a call: about one more call. */
constexpr milliseconds kZoneWait{300};

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

/** Crashes from which the pieces of a request are called for alone. */
constexpr int kAloneFrom = 2;

/** Which requests have pieces in one call. */
class CallMix {
 public:
  /** @param work a piece's request. @param crashes upstreams that have ended
   * under it. @return true if the piece joins the call. */
  bool Admit(const std::string& work, int crashes) {
    if (crashes == 0) {
      has_others_ = has_others_ || !alone_;
      return !alone_;
    }
    if (suspect_ && *suspect_ != work) return false;
    if (crashes >= kAloneFrom && has_others_) return false;
    suspect_ = work;
    alone_ = crashes >= kAloneFrom;
    return true;
  }

 private:
  std::optional<std::string> suspect_;  ///< The one request with crashes.
  bool has_others_ = false;             ///< Pieces of requests without any.
  bool alone_ = false;
};

/** @return true if what follows the piece has work enough for now. */
bool IsBackedUp(const Piece& piece, const CallSpace& space) {
  return std::ranges::any_of(
      piece.next_services, [&](const std::string& service) {
        return std::ranges::count(space.backed_up, service) > 0;
      });
}

}  // namespace

Urgency UrgencyOf(const Piece& piece, milliseconds call_time,
                  Clock::time_point now, bool late_last) {
  // Late ones are behind all that can be in time. Counted as due some seconds
  // later instead, those of a sustained overload would come ahead of new ones
  // after a while, and make these late too.
  const bool late = late_last && now + call_time > piece.due;
  return {late, (late ? piece.deadline : piece.due) + kRankStep * piece.rank};
}

int PieceQueue::Crashes(const Piece& piece) const {
  return rules_.crashes ? rules_.crashes(piece.work) : 0;
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
  std::vector<std::pair<Urgency, Iterator>> order;
  order.reserve(waiting_.size());
  // With more waiting than one call holds, an upstream that idles for the
  // sake of zones costs more than it saves.
  const bool may_idle = static_cast<int>(waiting_.size()) <= space.pieces;
  for (auto it = waiting_.begin(); it != waiting_.end(); ++it) {
    if (IsBackedUp(it->piece, space)) continue;
    Urgency urgency =
        UrgencyOf(it->piece, space.call_time, now, rules_.late_last);
    if (rules_.by_zone && IsOutOfZone(it->piece, space)) {
      urgency.at += kOtherZone;
      if (MayWaitForItsZone(it->piece, space, now)) {
        if (may_idle) continue;
        urgency.at += kOtherZoneWithTime;
      }
    }
    order.emplace_back(urgency, it);
  }
  std::ranges::stable_sort(order, {}, &std::pair<Urgency, Iterator>::first);
  std::vector<QueuedPiece> call;
  int64_t room = space.result_memory_bytes;
  size_t late = 0;
  CallMix mix;
  for (const auto& [urgency, it] : order) {
    if (static_cast<int>(call.size()) >= space.pieces) break;
    if (it->piece.result_bytes > room) continue;
    if (!mix.Admit(it->piece.work, Crashes(it->piece))) continue;
    room -= it->piece.result_bytes;
    if (urgency.late) ++late;
    call.push_back(std::move(*it));
    waiting_.erase(it);
  }
  late_rate_.NoteTaken(late, now);
  return call;
}

std::vector<QueuedPiece> PieceQueue::TakeHopeless(milliseconds call_time,
                                                  Clock::time_point now) {
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

std::vector<QueuedPiece> PieceQueue::TakeUnreached(milliseconds call_time,
                                                   Clock::time_point now) {
  using Iterator = std::list<QueuedPiece>::iterator;
  std::vector<std::pair<Urgency, Iterator>> late;
  for (auto it = waiting_.begin(); it != waiting_.end(); ++it) {
    const Urgency urgency =
        UrgencyOf(it->piece, call_time, now, rules_.late_last);
    if (urgency.late) late.emplace_back(urgency, it);
  }
  late_rate_.NoteWaiting(!late.empty(), now);
  std::ranges::stable_sort(late, {}, &std::pair<Urgency, Iterator>::first);
  std::vector<QueuedPiece> unreached;
  size_t position = 0;
  for (const auto& [urgency, it] : late) {
    const auto reached = late_rate_.ReachedAt(position, now);
    if (reached + call_time <= it->piece.deadline) {
      ++position;
      continue;
    }
    unreached.push_back(std::move(*it));
    waiting_.erase(it);
  }
  return unreached;
}

std::vector<QueuedPiece> PieceQueue::TakeAll() {
  std::vector<QueuedPiece> all(std::make_move_iterator(waiting_.begin()),
                               std::make_move_iterator(waiting_.end()));
  waiting_.clear();
  return all;
}

size_t PieceQueue::CountBefore(const Urgency& urgency, Clock::time_point now,
                               milliseconds call_time) const {
  return static_cast<size_t>(
      std::ranges::count_if(waiting_, [&](const QueuedPiece& q) {
        return UrgencyOf(q.piece, call_time, now, rules_.late_last) <= urgency;
      }));
}

}  // namespace turmeric::stages
