#pragma once

#include <chrono>
#include <cstdint>
#include <memory>
#include <optional>
#include <span>
#include <string>
#include <string_view>

#include "turmeric/balancing/upstream_load.h"
#include "turmeric/limits/brittle_state.h"
#include "turmeric/limits/stated_availability.h"
#include "turmeric/limits/stated_limit.h"
#include "turmeric/routing/reach.h"
#include "turmeric/routing/recent_sends.h"
#include "turmeric/routing/upstream_clock.h"

namespace turmeric::routing {

/** The entry of one upstream process in the platform's list. */
struct UpstreamEntry {
  std::string id;  ///< A process may restart under the same id.
  /** When the process started, Unix milliseconds by its own clock;
   * distinguishes two starts under one id. 0: not stated; each start then has
   * an id of its own. */
  int64_t started_unix_ms = 0;
  std::string service;
  std::string address;  ///< "ip:port"; may be reused by another service.
  std::string zone;
  std::string version = {};  ///< Version of the software that it runs.
  int slots = 1;
  bool draining = false;
  /** Remaining time for which the process is cold (slow, with low capacity
   * after its start), as of when it wrote its entry. */
  std::chrono::milliseconds cold_left{0};
};

/** One upstream as seen by this instance: its entry and the history of the
 * exchanges with it. */
struct Upstream {
  UpstreamEntry entry;
  bool listed = true;  ///< False once UpstreamTable has dropped it.
  /** The process has restarted under its id, as another Upstream: its results
   * are lost, and its address may serve new results under old names. */
  bool restarted = false;
  /** Its software version is not registered yet: it receives no new work while
   * other upstreams of its service serve. */
  bool unregistered = false;
  bool evacuated = false;  ///< Its zone is evacuated: it receives no new work.
  /** When the upstream is dropped: its entry was removed or is missing from a
   * list, and may be written again until then. `max()`: the entry exists. */
  Clock::time_point expires_at = Clock::time_point::max();

  Clock::time_point cold_until;  ///< End of its cold phase, as far as known.
  /** Recent requests to the upstream that this instance sent, or that other
   * instances sent because this instance had placed them. */
  RecentSends sends;
  limits::StatedLimit rate_limit;  ///< Stated in its answers.
  limits::BrittleState brittle;
  /** Stated in its answers; shared by all objects for the same process. Never
   * null. */
  std::shared_ptr<limits::StatedAvailability> availability =
      std::make_shared<limits::StatedAvailability>();
  int in_flight = 0;  ///< Requests of this instance that are in flight to it.
  /** Time to read the prompts of the requests in flight, ms. */
  double pending_prompt_ms = 0;
  /** Requests of all instances placed on it by this instance, if this instance
   * owns the placements; see PlacementTracker. */
  int placed = 0;
  /** Time to read the prompts of the placed requests, ms. */
  double placed_prompt_ms = 0;
  double latency_ms = 0;            ///< Moving average to the first byte.
  int failures = 0;                 ///< Consecutive failed requests.
  double failure_rate = 0;          ///< Moving average, 0 to 1.
  Clock::time_point ejected_until;  ///< Avoided until then, after failures.
  Clock::time_point full_until;     ///< Avoided until then, after a refusal.
  int connections = 0;              ///< Connections of this instance to it.
  Reach reach;                      ///< How this instance reaches it.
  balancing::UpstreamLoad load;     ///< Its reports and its learned speed.
};

using UpstreamPtr = std::shared_ptr<Upstream>;

/** The outcome of one exchange with an upstream, for its history. */
enum class Outcome {
  kAnswered,  ///< A complete answer to the request.
  kError,     ///< The upstream answered with an error of its own.
  kRefused,   ///< Did not run the request because it is full or leaving.
  kNotSent,   ///< No connection could be made.
  kBroken,    ///< Truncated, malformed, or another request's answer.
  kTimeout,   ///< No answer within the timeout.
};

/**
 * Updates an upstream's history. Ejects an upstream (marks it as avoided for a
 * while) after a failed connection, several consecutive failures, or a high
 * failure rate.
 * @param upstream the upstream. @param outcome of the exchange.
 * @param ms time to the answer's first byte. @param now current time.
 */
void NoteOutcome(Upstream& upstream, Outcome outcome, double ms,
                 Clock::time_point now);

/**
 * @param upstream an upstream.
 * @return true if its entry or one of its answers states that it leaves.
 */
bool IsLeaving(const Upstream& upstream);

/**
 * @param upstream an upstream. @param now current time.
 * @return true if it may receive new work: its entry exists, it does not leave
 *     and is in no evacuated zone. Its history is not considered.
 */
bool AcceptsWork(const Upstream& upstream, Clock::time_point now);

/**
 * @param upstream an upstream. @param now current time.
 * @return true if AcceptsWork holds and its version is registered, or no other
 *     upstream of its service serves.
 */
bool IsListed(const Upstream& upstream, Clock::time_point now);

/**
 * Decides whether, and from when, this instance may send to an upstream. Its
 * history (see IsAvoided) is not considered.
 * @param upstream an upstream. @param now current time.
 * @return `now` if a request may be sent at once, the end of its rest if it
 *     rests, nullopt if IsListed does not hold.
 */
std::optional<Clock::time_point> SendableFrom(const Upstream& upstream,
                                              Clock::time_point now);

/**
 * @param upstream an upstream. @param now current time.
 * @return true if this instance may send to it now; see SendableFrom.
 */
bool MaySend(const Upstream& upstream, Clock::time_point now);

/**
 * @param upstream an upstream. @param now current time.
 * @return true if the upstream wants no request from this instance.
 */
bool IsResting(const Upstream& upstream, Clock::time_point now);

/**
 * @param upstream an upstream. @param now current time.
 * @return true if the upstream wants no request from another instance. This one
 *     sends to it only if no other is left.
 */
bool IsRestingFromPeer(const Upstream& upstream, Clock::time_point now);

/**
 * @param upstreams of a service.
 * @param version see HasVersion.
 * @param now current time.
 * @return the earliest time that SendableFrom returns for those with that
 *     version; nullopt if there is none.
 */
std::optional<Clock::time_point> SendableFrom(
    std::span<const UpstreamPtr> upstreams, std::string_view version,
    Clock::time_point now);

/**
 * @param upstream an upstream.
 * @param version a software version; empty: any.
 * @return true if the upstream has that version.
 */
bool HasVersion(const Upstream& upstream, std::string_view version);

/**
 * @param upstreams of a service.
 * @param version see HasVersion.
 * @param now current time.
 * @return true if IsListed holds for any of them with that version.
 */
bool AnyListed(std::span<const UpstreamPtr> upstreams, std::string_view version,
               Clock::time_point now);

/**
 * @param upstream an upstream. @param now current time.
 * @return true if the upstream is ejected or recently refused a request; such
 *     an upstream is used only if no other is left.
 */
bool IsAvoided(const Upstream& upstream, Clock::time_point now);

}  // namespace turmeric::routing
