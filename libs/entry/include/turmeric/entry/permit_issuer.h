#pragma once

#include <map>
#include <string>

#include "turmeric/limits/permit_schedule.h"
#include "turmeric/peer/frame.h"
#include "turmeric/routing/issuer_list.h"
#include "turmeric/routing/upstream_table.h"

namespace turmeric::entry {

/**
 * Issues permits for requests to upstreams that state a rate limit. Each issuer
 * of a service (see IssuerList) issues an equal part of each limit. The parts
 * add up to the limit, so that issuers need no information about each other.
 * Time is passed in by the caller.
 */
class PermitIssuer {
 public:
  using Clock = routing::Clock;

  /** Limits below this rate, in requests per second, count as this rate: an
   * upstream without requests could not state the end of its limit. */
  static constexpr double kMinRate = 0.2;

  /**
   * The referenced objects must outlive this.
   * @param upstreams the upstreams and their limits.
   * @param issuers the issuers of each service.
   * @param started when this process started.
   */
  PermitIssuer(const routing::UpstreamTable& upstreams,
               const routing::IssuerList& issuers, Clock::time_point started)
      : upstreams_(upstreams), issuers_(issuers), started_(started) {}

  /**
   * @param order an order of any instance.
   * @param now current time.
   * @return the answer: a permit, or the time after which one is expected.
   */
  peer::Permit Decide(const peer::PermitOrder& order, Clock::time_point now);
  /**
   * Called when an upstream has stated a new limit.
   * @param upstream the upstream.
   * @param now current time.
   */
  void OnLimit(const routing::Upstream& upstream, Clock::time_point now);
  /** Drops the schedules of upstreams that are no longer listed. */
  void DropUnlisted();

 private:
  limits::PermitSchedule& ScheduleOf(const routing::Upstream& upstream,
                                     int rank, Clock::time_point now);
  std::vector<routing::UpstreamPtr> Candidates(const peer::PermitOrder& order,
                                               Clock::time_point now) const;

  const routing::UpstreamTable& upstreams_;
  const routing::IssuerList& issuers_;
  Clock::time_point started_;
  /** By process incarnation. */
  std::map<std::string, limits::PermitSchedule> schedules_;
};

/**
 * @param upstreams the upstreams.
 * @param incarnation from ProcessStartId.
 * @return the upstream if this process incarnation is listed, or nullptr.
 */
routing::UpstreamPtr FindIncarnation(const routing::UpstreamTable& upstreams,
                                     std::string_view incarnation);

}  // namespace turmeric::entry
