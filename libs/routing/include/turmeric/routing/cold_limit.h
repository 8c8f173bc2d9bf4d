#pragma once

#include <optional>
#include <set>
#include <string>
#include <string_view>

namespace turmeric::routing {

/** How far above its stated rate an upstream may be loaded while it is cold. */
struct ColdTolerance {
  double over = 1.5;  ///< Factor on the rate.
  double slack = 5;   ///< Arrivals in a second beyond that.
};

/**
 * @param per_s arrivals a second that an upstream states to bear while it is
 *     cold; 0: any number. @param tolerance see ColdTolerance.
 * @return arrivals that are allowed in any one second, from all instances
 *     together; nullopt: any number.
 */
std::optional<int> ArrivalBound(double per_s, const ColdTolerance& tolerance);

/** By what an instance decides to send to an upstream that others use too. */
enum class SendGround {
  kOwner,     ///< It has placed the requests of all for a while.
  kNewOwner,  ///< It has begun to: another one may have until just now.
  kAlone,     ///< It should have asked the owner, and could not.
  kNoOwner,   ///< The service's upstreams are chosen by each for itself.
};

/**
 * The shares of an owner, of kSuccessors that take over from each other within
 * a second, and of all that choose alone stay within the bound together.
 * @param bound arrivals allowed. @param ground see SendGround.
 * @return how many of these may be sent on that ground in a second.
 */
int ShareOfBound(int bound, SendGround ground);

/** Instances that may use a new owner's share of one part of a service. */
inline constexpr int kSuccessors = 3;

/**
 * @param part of a service that one instance decides for. @param self the
 * instance's name. @param others names of all others, reachable or not.
 * @return true if it is among the first to own the part.
 */
bool IsSuccessor(std::string_view part, std::string_view self,
                 const std::set<std::string, std::less<>>& others);

/**
 * Deals a share of an upstream's bound out to instances that do not hear each
 * other: evenly, or one each to the first of them by rendezvous hashing.
 * @param share sends in a second. @param upstream id of the upstream.
 * @param self the instance's name. @param others names of all others.
 * @return what the instance may send of it.
 */
int DealtShare(int share, std::string_view upstream, std::string_view self,
               const std::set<std::string, std::less<>>& others);

}  // namespace turmeric::routing
