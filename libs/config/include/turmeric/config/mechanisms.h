#pragma once

#include <bitset>
#include <cstddef>
#include <optional>
#include <string_view>

namespace turmeric::config {

/** Mechanisms of request handling that can be switched off to measure their
 * effect. */
enum class Mechanism {
  /** One instance, the owner, places the requests of all instances on the
   * engines of a cell. */
  kOneOwnerPlaces,
  /** Placements use the record of the prompt parts sent to each engine instead
   * of assuming cached parts by hashing. */
  kPromptMemory,
  /** A stage is sent to the shard of the zone that uses its result. */
  kZoneShards,
  /** Part of a stage's pieces is sent to other zones if the backlog of its zone
   * is much longer. */
  kShardSpill,
  /** Pieces in a queue prefer upstreams of their zone. */
  kZoneInQueue,
  /** Pieces that cannot meet their latency target are queued behind all pieces
   * that can. */
  kLateLast,
  /** Queued late pieces are refused if, by the rate at which calls have taken
   * late pieces, no call is expected to take them in time for their deadline.
   */
  kRefuseUnreached,
  /** Pieces that cannot be completed in time are refused on arrival. */
  kRefuseTooLate,
  /** Work that leads to a stage service with a long queue is not started. */
  kBackingUp,
  /** A stage with large results starts as late as possible without ending later
   * than the longest parallel chain of stages. */
  kLargeLast,
  /** Stages are planned by their measured durations. */
  kStageTimes,
  /** Results are released once fetched, not when the request ends. */
  kEarlyRelease,
  /** The stages of a request are run again after a result was lost. */
  kStagesAgain,
  /** The latency target of a caller's retry counts from its first attempt. */
  kUsualDeadlines,
  /** Failing upstreams are excluded for a while. */
  kEjection,
  /** Failed requests are retried within the fleet-wide retry budget. */
  kRepeats,
  /** Requests that did not reach their upstream are sent to the next one
   * without use of the retry budget. */
  kTryNext,
  /** The rank of a request is sent to the engine as its priority. */
  kEnginePriority,
  /** Watches of the store wait longer for changes while frames from peer
   * instances are received. */
  kLongWatches,
  /** A few instances, the relays, watch the store and pass its changes on to
   * the others. */
  kStoreRelays,
  /** Requests that crash the upstreams which run them are refused. */
  kQuarantine,
  /** The rate of requests to an upstream is limited while it is cold. */
  kColdLimit,
  /** Requests to an upstream that states a rate limit need a permit. */
  kUpstreamLimit,
  /** Upstreams that this instance does not reach are reached through peer
   * instances. */
  kTunnels,
  /** Upstreams that are known to be uneven are chosen by the expected time to
   * the answer. */
  kExpectedTime,
  /** Scarce capacity is divided between organisations. */
  kFairShares,
  /** Placements consider the memory of engines. */
  kEngineRoom,
};

/** Number of enumerators of Mechanism. */
inline constexpr size_t kMechanismCount = 27;

/** @param mechanism a mechanism. @return its name in settings. */
std::string_view MechanismName(Mechanism mechanism);

/** @param name name in settings. @return the mechanism, or nullopt if the name
 * is unknown. */
std::optional<Mechanism> ParseMechanism(std::string_view name);

/** Set of mechanisms in use. All are in use unless switched off. */
class Mechanisms {
 public:
  /** @param mechanism mechanism to switch off. */
  void SwitchOff(Mechanism mechanism) {
    switched_off_.set(static_cast<size_t>(mechanism));
  }
  /** @param mechanism a mechanism. @return true if it is in use. */
  bool Uses(Mechanism mechanism) const {
    return !switched_off_.test(static_cast<size_t>(mechanism));
  }

 private:
  std::bitset<kMechanismCount> switched_off_;
};

}  // namespace turmeric::config
