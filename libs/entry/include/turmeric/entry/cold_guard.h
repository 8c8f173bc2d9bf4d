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
 * Keeps the fleet's sends to one upstream below what it bears while it is cold.
 * An upstream may turn cold at any moment and is known to be only later, so
 * where one instance decides for all, the bound holds always; services whose
 * upstreams each instance chooses for itself keep it while one is known to be
 * cold. Time is passed in.
 */
class ColdGuard {
 public:
  using Clock = routing::Clock;

  /** @param tolerance of the platform. @param self this instance's name. */
  ColdGuard(routing::ColdTolerance tolerance, std::string self);

  /** @param spec a service, or nullptr. @return true if what its upstreams get
   * is bounded. */
  bool Bounds(const routing::ServiceSpec* spec) const {
    return BoundOf(spec).has_value();
  }
  /** @param on false: nothing is bounded. */
  void set_on(bool on) { on_ = on; }
  /** Until this is told, nothing is sent to an upstream that may be cold: each
   * instance of a fleet that starts would take itself for the only one.
   * @param others names of all other instances, reachable or not. */
  void set_others(std::set<std::string, std::less<>> others) {
    others_ = std::move(others);
  }
  /** @param reaches_most tells whether most of the others are reached: what
   * this instance owns by its own view is owned by others besides, otherwise.
   */
  void set_reaches_most(std::function<bool()> reaches_most) {
    reaches_most_ = std::move(reaches_most);
  }

  /** @param owns tells whether this instance owns a part of a service, by what
   * it knows now. */
  void set_owns(std::function<bool(const std::string& part)> owns) {
    owns_ = std::move(owns);
  }
  /** To be called several times a second: notes what is owned no more. */
  void CheckOwned();

  /**
   * @param spec the service, or nullptr. @param part of it that this instance
   *     owns: a cell or a shard. @param now the time.
   * @return which upstreams may get one more request.
   */
  routing::UpstreamFilter AsOwner(const routing::ServiceSpec* spec,
                                  const std::string& part,
                                  Clock::time_point now);
  /** @param spec a service with owners, or nullptr. @param now the time.
   * @return the same, for a choice without its owner. */
  routing::UpstreamFilter Alone(const routing::ServiceSpec* spec,
                                Clock::time_point now) const;
  /** @param spec a service without owners, or nullptr. @param now the time.
   * @return the same. */
  routing::UpstreamFilter WithoutOwner(const routing::ServiceSpec* spec,
                                       Clock::time_point now) const;
  /** A request goes to the upstream. @param spec of its service, or nullptr.
   * @param upstream it. @param now the time. */
  void NoteSend(const routing::ServiceSpec* spec, routing::Upstream& upstream,
                Clock::time_point now) const;

 private:
  std::optional<int> BoundOf(const routing::ServiceSpec* spec) const;

  routing::ColdTolerance tolerance_;
  std::string self_;
  bool on_ = true;
  std::optional<std::set<std::string, std::less<>>> others_;
  std::function<bool()> reaches_most_;
  std::function<bool(const std::string& part)> owns_;
  /** Since when this instance has owned each part without a break. */
  std::map<std::string, Clock::time_point> owned_since_;
};

}  // namespace turmeric::entry
