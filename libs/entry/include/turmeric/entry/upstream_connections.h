#pragma once

#include <QObject>
#include <QTimer>
#include <chrono>
#include <functional>
#include <map>
#include <set>
#include <string>
#include <string_view>
#include <vector>

#include "turmeric/connections/connection_borrower.h"
#include "turmeric/connections/connection_lender.h"
#include "turmeric/connections/connection_shares.h"
#include "turmeric/connections/loan_survey.h"
#include "turmeric/entry/instance_info.h"
#include "turmeric/routing/upstream.h"

namespace turmeric::peer {
struct Frame;
enum class LoanStatement;
}  // namespace turmeric::peer

namespace turmeric::entry {

struct EntryContext;
class EntryMetrics;

/** Connections of UpstreamConnections to the other instances. */
struct LoanLinks {
  using AddToFrame = std::function<void(peer::Frame&)>;

  /** @return true if frames to the instance are expected to arrive. */
  std::function<bool(const std::string& name)> reaches;
  /** Adds to the next frame to an instance. */
  std::function<void(const std::string& name, const AddToFrame&)> send;
  /** Adds to the next frame to each reachable instance. */
  std::function<void(const AddToFrame&)> broadcast;
};

/**
 * Bounds the connections that the fleet opens to each upstream. Each instance
 * has a share of its own, and borrows more from the lenders of the upstream's
 * service while it needs more; see connections::ConnectionLender. The lenders
 * of a service are the issuers of its permits.
 */
class UpstreamConnections : public QObject {
 public:
  using Clock = routing::Clock;

  /** @param context the instance's state; must outlive this. @param links see
   * LoanLinks. */
  UpstreamConnections(EntryContext& context, LoanLinks links);

  /** @param upstream an upstream. @return connections that this instance may
   * open to it now; 0: unlimited. */
  int Limit(const routing::Upstream& upstream) const;
  /** @param upstream an upstream. @return true if a request may be sent to it
   * now, on an idle connection or a new one. */
  bool HasFree(const routing::Upstream& upstream) const;
  /** @param service its name. @return ids of its upstreams without a free
   * connection; not all, if there are very many. */
  std::vector<std::string> WithoutFree(const std::string& service) const;
  /** Records a request that was sent to an upstream. @param upstream the
   * receiver. */
  void OnSend(const routing::Upstream& upstream);
  /** Records a request that found no free connection to an upstream, and orders
   * more. @param upstream the upstream. @param request its id, for the log. */
  void OnShortage(const routing::Upstream& upstream, std::string_view request);
  /** Orders connections to an upstream without a free one. @param upstream the
   * upstream. */
  void Order(const routing::Upstream& upstream);
  /** Applies the fleet's list. @param fleet all instances. @param now current
   * time. */
  void OnInstances(const Instances& fleet, Clock::time_point now);

  /** Adds to the first frame on a connection. @param frame the frame. */
  void AddStatement(peer::Frame& frame) const;
  /** Handles the first frame on a connection that another instance has opened.
   * @param identity of its process. @param frame its frame. */
  void OnFirstFrame(const std::string& identity, const peer::Frame& frame);

  /** Handles a frame on a connection that this instance has opened. @param name
   * of the other instance. @param frame its frame. */
  void OnGrants(const std::string& name, const peer::Frame& frame);
  /** Handles a frame on a connection that another instance has opened.
   * @param identity of its process. @param frame its frame. @param reply next
   * frame to it, or nullptr. */
  void OnOrders(const std::string& identity, const peer::Frame& frame,
                peer::Frame* reply);
  /** @param name of an instance whose connection has ended. */
  void OnLost(const std::string& name) { borrower_.OnLenderLost(name); }

 private:
  /** Use of an upstream's connections since the last check. */
  struct Use {
    int peak = 0;  ///< Most requests in flight.
  };

  /** Since when this instance is a lender of a service. */
  struct LenderSince {
    Clock::time_point at;
    /** It was a lender before its process started, too, so that no other
     * instance has lent the same connections meanwhile. */
    bool before_start = false;
  };

  int OwnShareOf(const routing::Upstream& upstream) const;
  /** @return true if the instance is known to borrow and lend. */
  bool HasLoanRelease(const std::string& name) const;
  /** @return the fleet, as far as the division of connections depends on it. */
  connections::Fleet FleetOf(const std::string& service) const;
  void UpdateLenderSince(Clock::time_point now);
  void OnStatement(const std::string& name, peer::LoanStatement statement);
  /** Ends the wait of a restarted lender once no instance has a loan. */
  void SettleWithoutLoans(Clock::time_point now);
  /** Asks all instances for loans of earlier lenders, while this one waits for
   * their end. */
  void SurveyLoans(Clock::time_point now);
  bool IsSettled(const LenderSince& since, Clock::time_point now) const;
  void TrimToLimits();
  void Extend(const routing::Upstream& upstream, int missing,
              Clock::time_point now);
  void Send(const std::vector<connections::AddressedOrder>& orders,
            Clock::time_point now);
  connections::LendablePart PartOf(const std::string& incarnation,
                                   Clock::time_point now);
  connections::LoanGrant Decide(const std::string& identity,
                                const connections::LoanOrder& order,
                                Clock::time_point now);
  void OnGrant(const std::string& lender, const connections::LoanGrant& grant,
               Clock::time_point now);
  /** Renews loans and returns those that are not needed. */
  void Maintain();
  void ReduceUnused(const std::string& incarnation, Clock::time_point now);

  EntryContext& context_;
  LoanLinks links_;
  connections::ConnectionBorrower borrower_;
  connections::ConnectionLender lender_;
  /** Upstreams with loans, by process incarnation. */
  std::map<std::string, Use> use_;
  Clock::time_point started_ = Clock::now();
  std::map<std::string, LenderSince> lender_since_;  ///< By service.
  bool was_lender_ = false;
  std::vector<std::string> others_;       ///< The fleet without this instance.
  std::set<std::string> listed_lenders_;  ///< Of others_, by their entries.
  connections::LoanSurvey survey_;
  /** The last statements of other instances, by name. */
  std::map<std::string, peer::LoanStatement> statements_;
  QTimer timer_;
};

}  // namespace turmeric::entry
