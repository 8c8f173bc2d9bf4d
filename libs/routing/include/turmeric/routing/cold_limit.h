#pragma once

#include <optional>
#include <set>
#include <string>
#include <string_view>

namespace turmeric::routing {

/** How far arrivals may exceed an upstream's stated rate while it is cold, that
 * is, slow and of low capacity after its start. */
struct ColdTolerance {
  double over = 1.5;  ///< Factor on the rate.
  double slack = 5;   ///< Arrivals per second added to the scaled rate.
};

/**
 * @param per_s arrivals per second that an upstream can serve while it is cold,
 *     as stated; 0: unlimited. @param tolerance see ColdTolerance.
 * @return arrivals allowed in any one second, from all instances together;
 *     nullopt: unlimited.
 */
std::optional<int> ArrivalBound(double per_s, const ColdTolerance& tolerance);

/** The role in which an instance sends to an upstream that other instances use
 * too. */
enum class SenderRole {
  /** Places the requests of all instances, and has done so for longer than the
   * window of RecentSends. */
  kOwner,
  /** Has become the owner within the window of RecentSends: sends of an
   * earlier owner may still count against the bound. */
  kNewOwner,
  /** Sends without the owner's decision, for example because the owner is
   * unreachable. */
  kUncoordinated,
  /** The service has no owner: each instance chooses upstreams by itself. */
  kNoOwner,
};

/**
 * Divides a bound among roles. The shares of one owner, of kMaxSuccessors new
 * owners that take over from each other within a second, and of all
 * uncoordinated instances together do not exceed the bound.
 * @param bound arrivals allowed per second. @param role of the sender.
 * @return sends per second allowed in that role.
 */
int ShareOfBound(int bound, SenderRole role);

/** Instances that may use a new owner's share of one shard or cell. */
inline constexpr int kMaxSuccessors = 3;

/**
 * @param shard name of a shard or cell, a part of a service with one owner.
 * @param self name of this instance. @param others names of all other
 *     instances, reachable or not.
 * @return true if this instance is among the first kMaxSuccessors owners by
 *     rendezvous hashing.
 */
bool IsSuccessor(std::string_view shard, std::string_view self,
                 const std::set<std::string, std::less<>>& others);

/**
 * Divides a share of an upstream's bound among instances that do not
 * coordinate: evenly, with the remainder given one each to the first instances
 * by rendezvous hashing.
 * @param share sends per second. @param upstream id of the upstream.
 * @param self name of this instance. @param others names of all other
 *     instances.
 * @return sends per second allowed to this instance.
 */
int InstanceShare(int share, std::string_view upstream, std::string_view self,
                  const std::set<std::string, std::less<>>& others);

}  // namespace turmeric::routing
