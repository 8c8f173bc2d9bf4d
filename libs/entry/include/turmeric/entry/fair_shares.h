#pragma once

#include <QObject>
#include <QTimer>
#include <chrono>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

#include "turmeric/entry/shared_work.h"
#include "turmeric/fairness/service_share.h"
#include "turmeric/fairness/share_coordinator.h"
#include "turmeric/fairness/work_estimate.h"

namespace turmeric::peer {
struct Frame;
}  // namespace turmeric::peer

namespace turmeric::routing {
struct Route;
}  // namespace turmeric::routing

namespace turmeric::entry {

struct EntryContext;

/** Connections of FairShares to the other instances. */
struct ShareLinks {
  /** @return the instance that owns a key; nullopt: this one. */
  std::function<std::optional<std::string>(const std::string& key)> owner_of;
  /** Adds to the next frame to an instance. */
  std::function<void(const std::string& name,
                     const std::function<void(peer::Frame&)>& add)>
      send;
};

/** The decision on one request by its organisation's share. */
struct ShareAdmission {
  std::unique_ptr<SharedWork> work;          ///< Null: the request is refused.
  std::chrono::milliseconds retry_after{0};  ///< If refused.
};

/**
 * @param context the instance's state. @param service service of a request.
 * @param route its route.
 * @return true if the capacity is to be divided between organisations here: the
 *     configuration has several, and no other instance places the requests.
 *     Routes with stages are excluded, since most of their time is no work of
 *     the service.
 */
bool SharesCapacity(const EntryContext& context, const std::string& service,
                    const routing::Route& route);

/**
 * Fair shares of services whose requests any instance sends on its own: meters
 * the demand at this instance, reports it to the coordinator of the service,
 * and admits requests by the coordinator's plan. Acts as the coordinator of the
 * services that this instance owns. Services that are not in use hold no state.
 */
class FairShares : public QObject {
 public:
  using Clock = fairness::Clock;

  /** @param context the instance's state; must outlive this. @param links see
   * ShareLinks. */
  FairShares(EntryContext& context, ShareLinks links);

  /**
   * Counts the demand of a request and decides on it.
   * @param service its service. @param organisation of the caller; empty: none.
   * @param route its route, which determines the expected work.
   * @return the decision.
   */
  ShareAdmission Admit(const std::string& service,
                       std::string_view organisation, const std::string& route);
  /** Handles the demand reports of an instance.
   * @param identity its name and process start, "name#start".
   * @param frame from the instance. @param reply next frame to it; may be
   *     null. */
  void OnReports(const std::string& identity, const peer::Frame& frame,
                 peer::Frame* reply);
  /** Handles the plans of an instance. @param name its name. @param frame from
   * the instance. */
  void OnPlans(const std::string& name, const peer::Frame& frame);

 private:
  struct Service {
    fairness::ServiceShare share;
    std::map<std::string, fairness::WorkEstimate> work;  ///< By route.
    /** Times of the latest log lines, by organisation. */
    std::map<std::string, Clock::time_point, std::less<>> logged;
    bool limited = false;  ///< The latest plan limits an organisation.
  };

  fairness::CapacityPart PartOf(const std::string& service) const;
  void Start();
  void Tick();
  void Report(const std::string& name, Service& service,
              const fairness::CapacityPart& part, Clock::time_point now);
  /** Applies a plan of the coordinator. */
  void Apply(const std::string& name, Service& service,
             const fairness::SharePlan& plan, Clock::time_point now);
  const fairness::SharePlan* Coordinate(const std::string& instance,
                                        const fairness::DemandReport& report,
                                        Clock::time_point now);
  void LogRefusal(const std::string& name, Service& service,
                  std::string_view organisation,
                  const fairness::ShareRefusal& refusal, Clock::time_point now);
  void End(const std::string& name, const std::string& route, double work,
           Clock::time_point began, bool answered);

  EntryContext& context_;
  ShareLinks links_;
  std::map<std::string, Service> services_;
  std::map<std::string, fairness::ShareCoordinator> coordinated_;
  QTimer timer_;  ///< Runs while any service is active.
};

}  // namespace turmeric::entry
