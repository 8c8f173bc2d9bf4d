#pragma once

#include <compare>
#include <cstdint>
#include <functional>
#include <list>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include "turmeric/stages/late_rate.h"
#include "turmeric/stages/piece.h"

namespace turmeric::stages {

/** Told of one piece's progress. */
struct PieceEvents {
  /** Its call has fetched its inputs; they need not be kept for it. May come
   * more than once, if a call fails. */
  std::function<void()> on_inputs_taken;
  /** What became of it; once. */
  std::function<void(const PieceResult&)> on_done;
};

/** A piece that waits for a call. */
struct QueuedPiece {
  uint64_t ticket = 0;
  Piece piece;
  PieceEvents events;
  int sends = 0;  ///< Calls it was part of already.
};

/** A piece's place in a queue: the smaller is served first. */
struct Urgency {
  bool late = false;     ///< It can no longer meet its latency target.
  Clock::time_point at;  ///< When it is due; if late, its deadline.
  // The linter takes the 0 in the generated comparison for a null pointer.
  // NOLINTNEXTLINE(modernize-use-nullptr)
  auto operator<=>(const Urgency&) const = default;
};

/**
 * The order of a queue: by when a piece is due, a lower rank counting as
 * later. Pieces that can no longer meet their latency target are behind all
 * that can, by their deadline.
 * @param piece the piece. @param call_time estimate for a whole call.
 * @param now the time. @param late_last false: late ones are ordered by when
 *     they were due, too. @return its place.
 */
Urgency UrgencyOf(const Piece& piece, std::chrono::milliseconds call_time,
                  Clock::time_point now, bool late_last = true);

/** How a queue orders its pieces. */
struct QueueRules {
  bool late_last = true;  ///< Late pieces are behind all that can be in time.
  bool by_zone = true;    ///< Pieces prefer upstreams of their zone.
  /** @return upstreams that have ended under a request, by its fingerprint;
   * empty: none ever. */
  std::function<int(const std::string& work)> crashes;
};

/** What an upstream that is free can take in its next call. */
struct CallSpace {
  int pieces = 1;                   ///< Most pieces in the call.
  int64_t result_memory_bytes = 0;  ///< Memory left for results.
  /** Zones in which other upstreams could take a piece. */
  std::span<const std::string> other_zones;
  /** Services with work enough: pieces that lead to them are not started. */
  std::span<const std::string> backed_up;
  std::string_view zone;  ///< The upstream's availability zone.
  std::chrono::milliseconds call_time{0};  ///< Estimate for a whole call.
};

/**
 * The pieces of one service that wait for a call, of all requests of all
 * instances that send them here. Answers a burst: calls have a large fixed
 * cost, so one common queue keeps them full, and when not all pieces can be
 * made in time those that still can come first. Time is passed in.
 */
class PieceQueue {
 public:
  /** @param rules how it orders its pieces. */
  explicit PieceQueue(QueueRules rules = {}) : rules_(rules) {}

  /** @param piece the piece. @param events told of its progress.
   * @return a ticket for Cancel. */
  uint64_t Push(Piece piece, PieceEvents events);
  /** Puts back a piece that an upstream refused. */
  void PushBack(QueuedPiece piece);
  /** @param ticket from Push. @return true if the piece was waiting. */
  bool Cancel(uint64_t ticket);
  /**
   * Takes the pieces for one call, most urgent first. All of a call are under
   * suspicion if its upstream ends; so a call has pieces of one request at most
   * under which an upstream has ended, and no others if two have.
   * @param space what the upstream can take. @param now the time.
   * @return the pieces, at least one if any fits.
   */
  std::vector<QueuedPiece> TakeCall(const CallSpace& space,
                                    Clock::time_point now);
  /**
   * Takes the pieces that cannot be made before their deadline.
   * @param call_time estimate for a whole call. @param now the time.
   */
  std::vector<QueuedPiece> TakeHopeless(std::chrono::milliseconds call_time,
                                        Clock::time_point now);
  /**
   * Takes the late pieces that no call will reach before their deadline, by
   * the rate at which calls have taken late ones. To be called often: the
   * rate counts from when late pieces were first seen here.
   * @param call_time estimate for a whole call. @param now the time.
   */
  std::vector<QueuedPiece> TakeUnreached(std::chrono::milliseconds call_time,
                                         Clock::time_point now);
  /** @return all pieces; none wait then. */
  std::vector<QueuedPiece> TakeAll();
  /** @return pieces waiting. */
  size_t size() const { return waiting_.size(); }
  /**
   * @param urgency a place. @param now the time.
   * @param call_time estimate for a whole call.
   * @return pieces waiting that come before it.
   */
  size_t CountBefore(const Urgency& urgency, Clock::time_point now,
                     std::chrono::milliseconds call_time) const;

 private:
  int Crashes(const Piece& piece) const;

  QueueRules rules_;
  std::list<QueuedPiece> waiting_;
  LateRate late_rate_;
  uint64_t next_ticket_ = 1;
};

}  // namespace turmeric::stages
