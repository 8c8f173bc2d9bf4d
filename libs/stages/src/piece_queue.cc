#include "turmeric/stages/piece_queue.h"

#include <algorithm>
#include <iterator>
#include <optional>
#include <utility>

namespace turmeric::stages {

using std::chrono::milliseconds;

namespace {

/** Offset added to a piece's due time for each step down in rank. */
constexpr milliseconds kRankOffset{250};
/** Offset added to a piece's due time at an upstream outside its preferred
 * zone. */
constexpr milliseconds kOtherZoneOffset{120};
/** Further offset while the piece has time to spare: about one more call.
 * Transferring results between zones is expensive; with several pieces to
 * choose from, most find an upstream of their zone in time. */
constexpr milliseconds kOtherZoneSpareOffset{400};
/** Time to spare beyond a call with which a piece waits for an upstream of its
 * zone: about one more call. */
constexpr milliseconds kMinTimeToWaitForZone{300};

/** @return true if the piece prefers a zone other than the upstream's. */
bool IsOutOfZone(const Piece& piece, const CallCapacity& capacity) {
  return !piece.zone.empty() && piece.zone != capacity.zone;
}

/** @return true if the piece can wait for an upstream of its zone. */
bool MayWaitForItsZone(const Piece& piece, const CallCapacity& capacity,
                       Clock::time_point now) {
  return std::ranges::count(capacity.other_zones, piece.zone) > 0 &&
         now + capacity.call_time + kMinTimeToWaitForZone < piece.due;
}

/** Number of crashes from which a request's pieces get calls of their own. */
constexpr int kCrashesToIsolate = 2;

/** Decides which requests may have pieces in one call. */
class CallComposition {
 public:
  /** @param work fingerprint of a piece's request. @param crashes upstreams
   * that have crashed while they ran it.
   * @return true if the piece may be added to the call. */
  bool Admit(const std::string& work, int crashes) {
    if (crashes == 0) {
      has_others_ = has_others_ || !isolated_;
      return !isolated_;
    }
    if (suspect_ && *suspect_ != work) return false;
    if (crashes >= kCrashesToIsolate && has_others_) return false;
    suspect_ = work;
    isolated_ = crashes >= kCrashesToIsolate;
    return true;
  }

 private:
  /** Fingerprint of the call's only request with crashes. */
  std::optional<std::string> suspect_;
  /** True if the call has pieces of requests without crashes. */
  bool has_others_ = false;
  bool isolated_ = false;  ///< No other request may be added.
};

/** @return true if the service of any later stage has enough backlog. */
bool IsBackedUp(const Piece& piece, const CallCapacity& capacity) {
  return std::ranges::any_of(
      piece.next_services, [&](const std::string& service) {
        return std::ranges::count(capacity.backed_up, service) > 0;
      });
}

}  // namespace

Urgency UrgencyOf(const Piece& piece, milliseconds call_time,
                  Clock::time_point now, bool late_last) {
  // Late pieces come after all that can be in time. With only a fixed offset of
  // some seconds, the late pieces of a sustained overload would be served
  // before new pieces after a while, and make those late too.
  const bool late = late_last && now + call_time > piece.due;
  return {late, (late ? piece.deadline : piece.due) + kRankOffset * piece.rank};
}

int PieceQueue::Crashes(const Piece& piece) const {
  return rules_.crashes ? rules_.crashes(piece.fingerprint) : 0;
}

uint64_t PieceQueue::Push(Piece piece, PieceEvents events) {
  const uint64_t ticket = next_ticket_++;
  waiting_.push_back({ticket, std::move(piece), std::move(events), 0});
  return ticket;
}

void PieceQueue::Requeue(QueuedPiece piece) {
  waiting_.push_back(std::move(piece));
}

bool PieceQueue::Cancel(uint64_t ticket) {
  return std::erase_if(waiting_, [&](const QueuedPiece& q) {
           return q.ticket == ticket;
         }) > 0;
}

std::vector<QueuedPiece> PieceQueue::TakeCall(const CallCapacity& capacity,
                                              Clock::time_point now) {
  using Iterator = std::list<QueuedPiece>::iterator;
  std::vector<std::pair<Urgency, Iterator>> order;
  order.reserve(waiting_.size());
  // If more pieces wait than one call holds, leaving the upstream idle costs
  // more than the avoided transfers between zones save.
  const bool may_idle = static_cast<int>(waiting_.size()) <= capacity.pieces;
  for (auto it = waiting_.begin(); it != waiting_.end(); ++it) {
    if (IsBackedUp(it->piece, capacity)) continue;
    Urgency urgency =
        UrgencyOf(it->piece, capacity.call_time, now, rules_.late_last);
    if (rules_.by_zone && IsOutOfZone(it->piece, capacity)) {
      urgency.at += kOtherZoneOffset;
      if (MayWaitForItsZone(it->piece, capacity, now)) {
        if (may_idle) continue;
        urgency.at += kOtherZoneSpareOffset;
      }
    }
    order.emplace_back(urgency, it);
  }
  std::ranges::stable_sort(order, {}, &std::pair<Urgency, Iterator>::first);
  std::vector<QueuedPiece> call;
  int64_t memory_left = capacity.result_memory_bytes;
  size_t late = 0;
  CallComposition composition;
  for (const auto& [urgency, it] : order) {
    if (static_cast<int>(call.size()) >= capacity.pieces) break;
    if (it->piece.result_bytes > memory_left) continue;
    if (!composition.Admit(it->piece.fingerprint, Crashes(it->piece))) continue;
    memory_left -= it->piece.result_bytes;
    if (urgency.late) ++late;
    call.push_back(std::move(*it));
    waiting_.erase(it);
  }
  late_rate_.NoteTaken(late, now);
  return call;
}

std::vector<QueuedPiece> PieceQueue::TakeInfeasible(milliseconds call_time,
                                                    Clock::time_point now) {
  std::vector<QueuedPiece> infeasible;
  for (auto it = waiting_.begin(); it != waiting_.end();) {
    if (now + call_time <= it->piece.deadline) {
      ++it;
      continue;
    }
    infeasible.push_back(std::move(*it));
    it = waiting_.erase(it);
  }
  return infeasible;
}

std::vector<QueuedPiece> PieceQueue::TakeStarved(milliseconds call_time,
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
  std::vector<QueuedPiece> starved;
  size_t position = 0;
  for (const auto& [urgency, it] : late) {
    const auto reached = late_rate_.ReachedAt(position, now);
    if (reached + call_time <= it->piece.deadline) {
      ++position;
      continue;
    }
    starved.push_back(std::move(*it));
    waiting_.erase(it);
  }
  return starved;
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
