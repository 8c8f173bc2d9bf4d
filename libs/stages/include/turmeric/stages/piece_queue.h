#pragma once

#include <compare>
#include <cstdint>
#include <functional>
#include <list>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include "turmeric/stages/late_piece_rate.h"
#include "turmeric/stages/piece.h"

namespace turmeric::stages {

/** Callbacks for the progress of one piece. */
struct PieceEvents {
  /** Called when a call has fetched the piece's inputs, which need not be kept
   * for it any more. Called again if that call fails and a later one fetches
   * them. */
  std::function<void()> on_inputs_fetched;
  /** Called once with the outcome of the piece. */
  std::function<void(const PieceResult&)> on_done;
};

/** A piece that waits for a call. */
struct QueuedPiece {
  uint64_t ticket = 0;
  Piece piece;
  PieceEvents events;
  int sends = 0;  ///< Calls that the piece was part of so far.
};

/** A piece's position in the order of a queue; smaller is served first. */
struct Urgency {
  bool late = false;  ///< The piece can no longer meet its latency target.
  /** When the piece is due, or its deadline if late, plus an offset by rank. */
  Clock::time_point at;
  // The linter reports the 0 in the generated comparison as a null pointer.
  // NOLINTNEXTLINE(modernize-use-nullptr)
  auto operator<=>(const Urgency&) const = default;
};

/**
 * Computes a piece's position in the order of a queue: by the time at which it
 * is due, plus an offset for each step down in rank. Pieces that can no longer
 * meet their latency target come after all others, by their deadline.
 * @param piece the piece. @param call_time estimated duration of a call.
 * @param now current time. @param late_last false: late pieces are ordered by
 *     the time at which they were due, like all others.
 * @return its position.
 */
Urgency UrgencyOf(const Piece& piece, std::chrono::milliseconds call_time,
                  Clock::time_point now, bool late_last = true);

/** How a queue orders its pieces. */
struct QueueRules {
  bool late_last = true;  ///< Late pieces come after all other pieces.
  bool by_zone = true;    ///< Pieces prefer upstreams of their zone.
  /** Returns the number of upstreams that have crashed while they ran the
   * request with this fingerprint; an empty function counts as 0. */
  std::function<int(const std::string& work)> crashes;
};

/** Capacity of the next call to a free upstream. */
struct CallCapacity {
  int pieces = 1;                   ///< Maximum number of pieces in the call.
  int64_t result_memory_bytes = 0;  ///< Memory left for results.
  /** Zones in which other upstreams can take a piece. */
  std::span<const std::string> other_zones;
  /** Services that have enough backlog: pieces whose results go to them are not
   * started. */
  std::span<const std::string> backed_up;
  std::string_view zone;  ///< The upstream's availability zone.
  std::chrono::milliseconds call_time{0};  ///< Estimated duration of the call.
};

/**
 * The pieces of one service, or of one shard of it, that wait for a call, from
 * requests of all instances. Calls have a large fixed cost: in a burst, one
 * common queue keeps them full, and if not all pieces can be made in time,
 * those that still can are served first. The caller passes in the time.
 */
class PieceQueue {
 public:
  /** @param rules by which the queue orders its pieces. */
  explicit PieceQueue(QueueRules rules = {}) : rules_(rules) {}

  /** @param piece to enqueue. @param events callbacks for its progress.
   * @return a ticket for Cancel. */
  uint64_t Push(Piece piece, PieceEvents events);
  /** Enqueues a piece from a call that did not complete it. */
  void Requeue(QueuedPiece piece);
  /** @param ticket from Push. @return true if the piece was waiting. */
  bool Cancel(uint64_t ticket);
  /**
   * Dequeues the pieces for one call, most urgent first. If an upstream
   * crashes, all requests with pieces in its call are suspects. A call
   * therefore has pieces of at most one request with crashes, and of no other
   * request if that one has two or more crashes.
   * @param capacity of the call. @param now current time.
   * @return the pieces; empty if none fits or all should wait.
   */
  std::vector<QueuedPiece> TakeCall(const CallCapacity& capacity,
                                    Clock::time_point now);
  /**
   * Dequeues the pieces that cannot be made before their deadline, even by a
   * call that starts now.
   * @param call_time estimated duration of a call. @param now current time.
   */
  std::vector<QueuedPiece> TakeInfeasible(std::chrono::milliseconds call_time,
                                          Clock::time_point now);
  /**
   * Dequeues the late pieces that no call is expected to take in time for their
   * deadline, by the rate at which calls have taken late pieces. Must be called
   * several times a second: the rate counts from the first call of this
   * function that finds late pieces.
   * @param call_time estimated duration of a call. @param now current time.
   */
  std::vector<QueuedPiece> TakeStarved(std::chrono::milliseconds call_time,
                                       Clock::time_point now);
  /** Dequeues all pieces. */
  std::vector<QueuedPiece> TakeAll();
  /** @return the number of waiting pieces. */
  size_t size() const { return waiting_.size(); }
  /**
   * @param urgency a position. @param now current time.
   * @param call_time estimated duration of a call.
   * @return the number of waiting pieces at or before that position.
   */
  size_t CountBefore(const Urgency& urgency, Clock::time_point now,
                     std::chrono::milliseconds call_time) const;

 private:
  int Crashes(const Piece& piece) const;

  QueueRules rules_;
  std::list<QueuedPiece> waiting_;
  LatePieceRate late_rate_;
  uint64_t next_ticket_ = 1;
};

}  // namespace turmeric::stages
