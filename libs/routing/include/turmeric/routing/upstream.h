#pragma once

#include <chrono>
#include <cstdint>
#include <memory>
#include <span>
#include <string>

#include "turmeric/routing/recent_sends.h"
#include "turmeric/routing/upstream_clock.h"

namespace turmeric::routing {

/** What the platform's list says of one upstream process. */
struct UpstreamEntry {
  std::string id;  ///< A process may start again under the id that it had.
  /** When the process started, Unix milliseconds by its own clock; tells two
   * starts under one id apart. 0: not stated, then each start has an id. */
  int64_t started_unix_ms = 0;
  std::string service;
  std::string address;  ///< "ip:port"; may be used again by another service.
  std::string zone;
  int slots = 1;
  bool draining = false;
  /** How much longer it was slow and bore little, when it wrote its entry. */
  std::chrono::milliseconds cold_left{0};
};

/** One upstream as this instance sees it: its entry and its own history. */
struct Upstream {
  UpstreamEntry entry;
  bool listed = true;  ///< False once its entry is gone.
  /** It has started again under its id, as another Upstream: what it held is
   * gone, and its address may serve later results under earlier names. */
  bool restarted = false;
  bool evacuated = false;  ///< Its zone is to get nothing new.
  /** Its entry vanished with the store; kept till then, unless it returns. */
  Clock::time_point lapses_at = Clock::time_point::max();

  Clock::time_point cold_till;  ///< Known to be cold till then.
  RecentSends sends;  ///< Sent by us, or by others as we told them to.
  int in_flight = 0;  ///< Our requests open to it.
  double pending_prompt_ms = 0;  ///< Prompt reading we have asked of it.
  /** Requests of all instances that we have placed on it, if we place those of
   * its service; see PlacementBook. */
  int placed = 0;
  double placed_prompt_ms = 0;     ///< Prompt reading that these ask of it.
  double latency_ms = 0;           ///< Moving average to the first byte.
  int reported_load = 0;           ///< Its last report: running and waiting.
  int failures = 0;                ///< Requests failed in a row.
  double failure_rate = 0;         ///< Moving average, 0 to 1.
  Clock::time_point ejected_till;  ///< Not chosen before, after failures.
  Clock::time_point full_till;     ///< Refused as full; not chosen before.
  int connections = 0;             ///< Ours open to it.
};

using UpstreamPtr = std::shared_ptr<Upstream>;

/** How one exchange with an upstream ended, for its history. */
enum class Outcome {
  kAnswered,  ///< A whole answer that is its own.
  kError,     ///< The upstream answered with a failure of its own.
  kRefused,   ///< Said it did not run the request: full or leaving.
  kNotSent,   ///< No connection.
  kBroken,    ///< Cut, malformed, or another request's answer.
  kTimeout,   ///< Silent until we gave up.
};

/**
 * Updates an upstream's history; ejects one that fails in a row or more
 * often than it answers.
 * @param upstream the upstream. @param outcome how the exchange ended.
 * @param ms time to the answer's first byte. @param now the time.
 */
void NoteOutcome(Upstream& upstream, Outcome outcome, double ms,
                 Clock::time_point now);

/**
 * @param upstream an upstream. @param now the time.
 * @return true if it may be given new work as far as its entry goes.
 */
bool IsListed(const Upstream& upstream, Clock::time_point now);

/**
 * @param upstreams of a service. @param now the time.
 * @return true if any may be given new work as far as its entry goes.
 */
bool AnyListed(std::span<const UpstreamPtr> upstreams, Clock::time_point now);

/**
 * @param upstream an upstream. @param now the time.
 * @return true if its history speaks against giving it work now.
 */
bool IsAvoided(const Upstream& upstream, Clock::time_point now);

}  // namespace turmeric::routing
