#pragma once

#include <bitset>
#include <cstddef>
#include <optional>
#include <string_view>

namespace turmeric::config {

/** What decides about requests and can be switched off to measure its worth. */
enum class Mechanism {
  /** One instance places the requests of all on an engine cell. */
  kOneOwnerPlaces,
  /** The placing instance goes by the parts it has sent to each engine, not by
   * hashing. */
  kPromptMemory,
  /** A stage goes to the shard of the zone that wants its result. */
  kZoneShards,
  /** Part of a stage's pieces leave a zone in which much more waits. */
  kShardSpill,
  /** Within a queue, pieces prefer upstreams of their zone. */
  kZoneInQueue,
  /** Pieces that cannot be in time wait behind all that can. */
  kLateLast,
  /** Late pieces that no call will reach are refused at once. */
  kRefuseUnreached,
  /** Pieces that cannot be made before their deadline are refused on arrival.
   */
  kRefuseTooLate,
  /** No work is begun that leads to a stage service with a long queue. */
  kBackingUp,
  /** Large results are made as late as the chain beside them allows. */
  kLargeLast,
  /** Stages are planned by the time that they are seen to take. */
  kStageTimes,
  /** Results are given up once fetched, not when the request ends. */
  kEarlyRelease,
  /** A request's stages are done again after a result was lost. */
  kStagesAgain,
  /** A returning caller's earlier attempts count towards its target. */
  kUsualDeadlines,
  /** Upstreams that fail are left out for a while. */
  kEjection,
  /** What failed is sent again, within the fleet's budget. */
  kRepeats,
  /** What no upstream received is tried at the next one, outside the budget. */
  kTryNext,
  /** Engines are told a request's rank. */
  kEnginePriority,
  /** Watches of the store wait for longer while other instances are heard. */
  kLongWatches,
  /** Few instances follow the store and pass its changes on to the others. */
  kStoreRelays,
  /** Requests that end the upstreams which run them are refused. */
  kQuarantine,
  /** Upstreams get no more in a second than they bear while they are cold. */
  kColdLimit,
};

inline constexpr size_t kMechanisms = 22;

/** @param mechanism one of them. @return its name in settings. */
std::string_view MechanismName(Mechanism mechanism);

/** @param name as in settings. @return what it names, or nullopt. */
std::optional<Mechanism> ParseMechanism(std::string_view name);

/** Which mechanisms are in use; all, unless switched off. */
class Mechanisms {
 public:
  /** @param mechanism no longer used. */
  void SwitchOff(Mechanism mechanism) {
    off_.set(static_cast<size_t>(mechanism));
  }
  /** @param mechanism one of them. @return true if it is in use. */
  bool Uses(Mechanism mechanism) const {
    return !off_.test(static_cast<size_t>(mechanism));
  }

 private:
  std::bitset<kMechanisms> off_;
};

}  // namespace turmeric::config
