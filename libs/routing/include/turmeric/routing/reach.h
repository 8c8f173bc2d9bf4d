#pragma once

#include <string>
#include <string_view>

#include "turmeric/routing/upstream_clock.h"

namespace turmeric::routing {

/** How an instance reaches an upstream. */
enum class Path {
  kDirect,  ///< By connections of its own, as far as known.
  kTunnel,  ///< Only through other instances, which reach it.
  kNone,    ///< Not at all; the other instances do not reach it either.
};

/** @param path a path. @return its name for logs and metrics. */
std::string_view PathName(Path path);

/** What an instance knows about its path to one upstream. */
struct Reach {
  Path path = Path::kDirect;
  /** With kTunnel: name of the peer instance that connected to it. */
  std::string via;
  /** Begin of the last check of the path. */
  Clock::time_point checked_at;
  /** When the peer instances were last asked whether they reach it. */
  Clock::time_point peers_asked_at;
  /** When it last answered on a connection of this instance. */
  Clock::time_point answered_at;
  /** Consecutive checks that found no path. */
  int failed_checks = 0;
};

/** What one check of the path to an upstream has found. */
struct CheckResult {
  bool connected = false;    ///< A direct connection was made.
  bool refused = false;      ///< The upstream's host refused it.
  bool peers_asked = false;  ///< Peer instances were asked.
  /** Name of the first peer instance that connected to the upstream. */
  std::string connected_peer;
};

/**
 * Updates the path by the result of a check.
 * @param reach the state. @param result see CheckResult. @param now current
 * time.
 * @return true if the path has changed.
 */
bool ApplyCheck(Reach& reach, const CheckResult& result, Clock::time_point now);

/**
 * @param reach the state. @param now current time.
 * @return true if a path other than kDirect is due for another check.
 */
bool IsRecheckDue(const Reach& reach, Clock::time_point now);

/**
 * @param reach the state. @param now current time.
 * @return true if an unreached upstream is due for another question to the
 *     peer instances.
 */
bool MayAskPeers(const Reach& reach, Clock::time_point now);

/**
 * @param reach the state. @param now current time.
 * @return true if the instance has recently received an answer on a connection
 *     of its own, so that a peer's failure to connect is the peer's own.
 */
bool IsReachedDirectly(const Reach& reach, Clock::time_point now);

}  // namespace turmeric::routing
