#pragma once

#include <chrono>
#include <map>
#include <optional>
#include <set>
#include <span>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "turmeric/routing/upstream_clock.h"

namespace turmeric::routing {

/**
 * The issuers of a service: the few instances that divide a fleet-wide rate
 * among themselves, found by rendezvous hashing over the fleet's list. An
 * instance that is down keeps its part, which is then unused.
 *
 * An instance acts as an issuer only if each other instance that does so has
 * read a list that contains it, and if it has itself read the list recently
 * (see FleetSize). Its list then contains all instances that may act, so that
 * at most kMaxIssuers act at once, whatever the instances can reach. That the
 * others have read such a list follows from the age of its entry, or from their
 * connections to it: an instance connects to those in its list.
 */
class IssuerList {
 public:
  /** Issuers of a service; fewer in a smaller fleet. */
  static constexpr int kMaxIssuers = 5;

  /** @param self name of this instance. @param first_start true if the whole
   * fleet starts for the first time. */
  IssuerList(std::string self, bool first_start)
      : self_(std::move(self)), first_start_(first_start) {}

  /** Marks this instance as the only one, according to its settings. */
  void SetSingleInstance() { single_instance_ = true; }
  /** Records a read of the fleet's list. @param names of the other instances.
   * @param self_listed true if the list contains this instance.
   * @param now current time. */
  void OnList(std::span<const std::string> names, bool self_listed,
              Clock::time_point now);

  /** Records that an instance has read a list that contains this one.
   * @param name of the instance. */
  void OnKnownBy(const std::string& name) { known_by_.insert(name); }
  /** @return true if this instance is listed, and all others in the list have
   * read one that contains it, as recorded by OnKnownBy. */
  bool IsKnownByAll() const;

  /** @param service its name. @return the issuers, by descending rank; valid
   * until the next call of OnList. */
  std::span<const std::string> Of(const std::string& service) const;
  /** @param service its name. @param now current time.
   * @return rank of this instance among the issuers; nullopt: it must not act
   * as one. */
  std::optional<int> OwnRank(const std::string& service,
                             Clock::time_point now) const;
  /** @param service its name.
   * @return rank of this instance among the issuers, whether it may act yet or
   * not; nullopt: it is none of them. */
  std::optional<int> FutureRank(const std::string& service) const;
  /** @return true if the first list that was read contained this instance, from
   * an earlier start. */
  bool listed_before_start() const { return listed_before_start_; }
  /** @return instances of the fleet, including this one. */
  int fleet_size() const { return static_cast<int>(last_listed_.size()) + 1; }

 private:
  bool MayAct(Clock::time_point now) const;
  std::vector<std::string> Rank(std::string_view service) const;

  std::string self_;
  bool first_start_;
  bool single_instance_ = false;
  /** True if the list contained this instance at the first read, from an
   * earlier start: the others know it. */
  bool listed_before_start_ = false;
  std::optional<Clock::time_point> last_read_;
  std::optional<Clock::time_point> self_listed_since_;
  /** When each other instance was last found in the list. */
  std::map<std::string, Clock::time_point> last_listed_;
  std::set<std::string> known_by_;
  /** Issuers by service, for the present list. */
  mutable std::map<std::string, std::vector<std::string>> ranked_;
};

}  // namespace turmeric::routing
