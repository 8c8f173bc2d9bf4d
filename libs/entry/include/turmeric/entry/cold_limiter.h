#pragma once

#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>

#include "turmeric/routing/choice.h"
#include "turmeric/routing/cold_limit.h"
#include "turmeric/routing/route_table.h"
#include "turmeric/routing/upstream.h"

namespace turmeric::entry {

/**
 * Limits the rate at which the fleet sends requests to one upstream to the rate
 * that the upstream can serve while it is cold (slow, and overloaded by few
 * requests). An upstream may become cold at any moment, and instances detect
 * this with a delay. Therefore the limit always applies where one owner chooses
 * for all instances. For services whose upstreams each instance chooses for
 * itself, it applies while an upstream is known to be cold. The current time is
 * passed in by the caller.
 */
class ColdLimiter {
 public:
  using Clock = routing::Clock;

  /**
   * @param tolerance the platform's tolerance above the stated cold rate.
   * @param self name of this instance.
   */
  ColdLimiter(routing::ColdTolerance tolerance, std::string self);

  /**
   * @param spec a service, or nullptr.
   * @return true if the arrivals at its upstreams are limited.
   */
  bool Limits(const routing::ServiceSpec* spec) const {
    return ArrivalBoundOf(spec).has_value();
  }
  /** @param enabled false: no service is limited. */
  void set_enabled(bool enabled) { enabled_ = enabled; }
  /**
   * Sets the other instances of the fleet. Until this is called, no request is
   * admitted to an upstream that may be cold: each instance of a starting fleet
   * would otherwise assume that it is the only one.
   * @param others names of all other instances, reachable or not.
   */
  void set_other_instances(std::set<std::string, std::less<>> others) {
    other_instances_ = std::move(others);
  }
  /**
   * @param reaches_most returns true if this instance reaches most of the other
   *     instances. Otherwise, other instances may consider themselves owners of
   *     the same parts.
   */
  void set_reaches_most(std::function<bool()> reaches_most) {
    reaches_most_ = std::move(reaches_most);
  }

  /**
   * @param owns returns true if this instance currently owns a part (cell or
   *     shard) of a service.
   */
  void set_owns(std::function<bool(const std::string& part)> owns) {
    owns_ = std::move(owns);
  }
  /**
   * Stops counting parts as owned that this instance no longer owns. Must be
   * called several times per second.
   */
  void UpdateOwnedParts();

  /**
   * @param spec the service, or nullptr.
   * @param part the cell or shard of the service that this instance owns.
   * @param now current time.
   * @return filter of the upstreams that may receive one more request.
   */
  routing::UpstreamFilter AdmitsAsOwner(const routing::ServiceSpec* spec,
                                        const std::string& part,
                                        Clock::time_point now);
  /**
   * Admits upstreams for a choice that this instance makes without the owner,
   * for example because the owner did not respond in time.
   * @param spec a service whose requests are placed by owners, or nullptr.
   * @param now current time.
   * @return filter of the upstreams that may receive one more request.
   */
  routing::UpstreamFilter AdmitsAsNonOwner(const routing::ServiceSpec* spec,
                                           Clock::time_point now) const;
  /**
   * Admits upstreams of a service whose upstreams each instance chooses for
   * itself.
   * @param spec the service, or nullptr.
   * @param now current time.
   * @return filter of the upstreams that may receive one more request.
   */
  routing::UpstreamFilter AdmitsForUnowned(const routing::ServiceSpec* spec,
                                           Clock::time_point now) const;
  /**
   * Records that a request is sent to an upstream.
   * @param spec the service of the upstream, or nullptr.
   * @param upstream the receiver.
   * @param now current time.
   */
  void RecordSend(const routing::ServiceSpec* spec, routing::Upstream& upstream,
                  Clock::time_point now) const;

 private:
  std::optional<int> ArrivalBoundOf(const routing::ServiceSpec* spec) const;

  routing::ColdTolerance tolerance_;
  std::string self_;
  bool enabled_ = true;
  std::optional<std::set<std::string, std::less<>>> other_instances_;
  std::function<bool()> reaches_most_;
  std::function<bool(const std::string& part)> owns_;
  /**
   * Start of the uninterrupted ownership of each part that this instance owns.
   */
  std::map<std::string, Clock::time_point> owned_since_;
};

}  // namespace turmeric::entry
