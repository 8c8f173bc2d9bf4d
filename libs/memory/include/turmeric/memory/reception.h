#pragma once

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <span>
#include <vector>

namespace turmeric::memory {

/** A large request that is being received. */
struct Reception {
  uint64_t id = 0;
  /** Bytes that the request is expected to have: its announced length, or an
   * estimate from what has been received so far. */
  size_t expected = 0;
  size_t received = 0;  ///< Bytes received so far.
  std::chrono::steady_clock::time_point began;
  std::chrono::steady_clock::time_point last_byte;
};

/** What is decided about a request that needs memory. */
struct ReceptionDecision {
  bool admitted = false;
  /** Ids of the receptions that are given up for it. */
  std::vector<uint64_t> given_up;
};

/** Bytes of a request that a connection may hold without a decision: the usual
 * request has less, and is served while large ones are refused. */
inline constexpr size_t kSmallRequestBytes = 16 * 1024;

/** Copies of a large request's body that an instance holds at most: the request
 * itself, and the bytes that its upstream has not taken yet. */
inline constexpr size_t kCopiesOfBody = 2;

/** @param bytes size of a request, or of its body. @return true if the request
 * is large. */
constexpr bool IsLarge(size_t bytes) { return bytes > kSmallRequestBytes; }

/** @param body_bytes size of a complete body. @return bytes that it may hold
 * until its request is answered; a small one is taken by the system at once. */
constexpr size_t HeldBytes(size_t body_bytes) {
  return IsLarge(body_bytes) ? kCopiesOfBody * body_bytes : body_bytes;
}

/** A request that is not large, of which a part has been received. */
struct PartialRequest {
  uint64_t id = 0;
  size_t held = 0;  ///< Bytes of memory.
  /** Sent while an earlier request of its client is not answered. */
  bool sent_ahead = false;
  std::chrono::steady_clock::time_point began;
};

/**
 * Estimates how long a request takes to be received, at its mean rate so far.
 * @param reception the request.
 * @param now the present time.
 * @return time from its beginning to its end; the longest time that there is if
 *     nothing has been received for a second; 0 if it has just begun.
 */
std::chrono::milliseconds ExpectedDuration(
    const Reception& reception, std::chrono::steady_clock::time_point now);

/**
 * Decides whether a large request is received.
 *
 * The load that it handles: clients that send many large bodies at once,
 * slowly, or without their last bytes. Requests are admitted in order of
 * arrival while all that are admitted fit to their ends, because a body that is
 * given up midway was received in vain. If they do not fit, requests that take
 * more than 20 s are given up for new ones, the slowest first. A request that
 * is alone is always received.
 *
 * @param request the request, with its `expected` bytes; not one of `others`.
 * @param others the other requests that are being received.
 * @param held bytes of large requests that are complete and not yet answered.
 * @param bound bytes that large requests may hold in all, with their copies.
 * @param now the present time.
 * @return the decision.
 */
ReceptionDecision DecideReception(const Reception& request,
                                  std::span<const Reception> others,
                                  size_t held, size_t bound,
                                  std::chrono::steady_clock::time_point now);

/**
 * Decides which partial requests are given up so that the others fit. The usual
 * request is partial for a moment; those that are partial for the longest are
 * given up first, and those sent ahead last, as an answer is lost with them.
 *
 * @param requests all partial requests.
 * @param bound bytes that they may hold in all.
 * @return the ids of those that are given up.
 */
std::vector<uint64_t> DecidePartial(std::span<const PartialRequest> requests,
                                    size_t bound);

}  // namespace turmeric::memory
