#pragma once

#include <chrono>
#include <functional>
#include <map>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include "turmeric/entry/permit_issuer.h"
#include "turmeric/entry/permit_requester.h"
#include "turmeric/entry/wire_format.h"
#include "turmeric/limits/return_schedule.h"
#include "turmeric/peer/frame.h"
#include "turmeric/routing/issuer_list.h"
#include "turmeric/routing/upstream_table.h"

namespace turmeric::entry {

class EntryMetrics;

/** Connections of an UpstreamLimiter to the other instances. */
struct LimiterLinks {
  using AddToFrame = std::function<void(peer::Frame&)>;

  /** @return true if frames to the instance are expected to arrive. */
  std::function<bool(const std::string& name)> reaches;
  /** Adds to the next frame to an instance. */
  std::function<void(const std::string& name, const AddToFrame&)> send;
  /** Adds to the next frame to each reachable instance. */
  std::function<void(const AddToFrame&)> broadcast;
  /** Called when requests for permits are open: Tick must be called until there
   * are none. */
  std::function<void()> on_open;
};

/** Settings of an UpstreamLimiter. */
struct LimiterSettings {
  std::string name;          ///< Name of this instance.
  bool first_start = false;  ///< The whole fleet starts for the first time.
  bool enabled = true;       ///< False: limits are ignored.
};

/**
 * Keeps the request rate limits that upstreams state in their answers, over all
 * instances of the fleet. A request to an upstream with a limit needs a permit
 * of one of the service's issuers. Limits and their ends are passed on to the
 * other instances. Time is passed in by the caller.
 */
class UpstreamLimiter {
 public:
  using Clock = routing::Clock;

  /**
   * @param settings see LimiterSettings.
   * @param upstreams the upstreams and their limits; must outlive this.
   * @param links see LimiterLinks.
   * @param now current time, the start of this process.
   */
  UpstreamLimiter(LimiterSettings settings,
                  const routing::UpstreamTable& upstreams, LimiterLinks links,
                  Clock::time_point now);

  /** @param metrics counters of this instance; must outlive this. */
  void set_metrics(EntryMetrics* metrics) { metrics_ = metrics; }
  /** @return the issuers of permits. */
  const routing::IssuerList& issuers() const { return issuers_; }
  /** Records that an instance has read a list that contains this one.
   * @param name of the instance. */
  void OnKnownBy(const std::string& name) { issuers_.OnKnownBy(name); }
  /** Marks this instance as the only one, according to its settings. */
  void SetSingleInstance() { issuers_.SetSingleInstance(); }
  /**
   * Updates the fleet from its list.
   * @param names all instances.
   * @param self_listed true if the list contains this instance.
   * @param now current time.
   */
  void OnInstances(std::span<const std::string> names, bool self_listed,
                   Clock::time_point now);

  // Limits.

  /**
   * Applies the limit that an answer states, or the absence of one.
   * @param upstream the upstream that answered.
   * @param status status of the answer.
   * @param info decoded from the head of the answer.
   * @param sent_at when the request was sent.
   * @param now current time.
   */
  void OnAnswer(routing::Upstream& upstream, int status, const AnswerInfo& info,
                Clock::time_point sent_at, Clock::time_point now);
  /**
   * Records a request that is sent to an upstream.
   * @param upstream the receiver.
   */
  void OnSend(const routing::Upstream& upstream) const;
  /**
   * @param upstream an upstream.
   * @return true if a request to it needs a permit.
   */
  bool IsLimited(const routing::Upstream& upstream) const {
    return settings_.enabled && upstream.rate_limit.per_s().has_value();
  }
  /**
   * @param service its name.
   * @param version software version of the upstreams; empty: any.
   * @param tried ids of upstreams that are not counted.
   * @param now current time.
   * @return true if another listed upstream of the service has a limit.
   */
  bool HasLimited(const std::string& service, std::string_view version,
                  std::span<const std::string> tried,
                  Clock::time_point now) const;
  /** @param service its name. @return ids of the upstreams with a limit. */
  std::vector<std::string> Limited(const std::string& service) const;
  /**
   * @param service its name.
   * @param now current time.
   * @return ids of the upstreams with a limit for which no permit is expected
   *     now.
   */
  std::vector<std::string> WithoutPermit(const std::string& service,
                                         Clock::time_point now) const;
  /**
   * @param upstreams of one service that may be used.
   * @return requests per second that they take; infinite if one has no limit.
   */
  double RateOf(std::span<const routing::UpstreamPtr> upstreams) const;

  // Permits.

  /**
   * Requests a permit.
   * @param request see PermitRequest.
   * @param done called from inside this call or later.
   * @param now current time.
   */
  void Acquire(PermitRequest request, PermitCallback done,
               Clock::time_point now);
  /**
   * Obtains a permit that is kept until it is used or has expired.
   * @param upstream the upstream.
   * @param on_permit called if this call returns false and a permit is obtained
   *     later.
   * @param now current time.
   * @return true if a request may be sent to the upstream now. The caller
   *     calls UseKeptPermit when it sends the request.
   */
  bool KeepPermit(const routing::UpstreamPtr& upstream,
                  std::function<void()> on_permit, Clock::time_point now);
  /** @param upstream that a request is sent to after KeepPermit. */
  void UseKeptPermit(const routing::Upstream& upstream);
  /**
   * @param service a service without a permit for a request.
   * @param draw uniform random number in [0, 1).
   * @param now current time.
   * @return Retry-After delay of the refused request.
   */
  std::chrono::milliseconds RefusalDelay(const std::string& service,
                                         double draw, Clock::time_point now);
  /** Must be called every few milliseconds while has_open(). @param now current
   * time. */
  void Tick(Clock::time_point now) { requester_.Tick(now); }
  /** @return true if requests for permits are open. */
  bool has_open() const { return requester_.has_open(); }

  // Frames.

  /**
   * Handles a frame on a connection that this instance has opened: permits and
   * limits.
   * @param name name of the other instance.
   * @param frame its frame.
   * @param now current time.
   */
  void OnPermits(const std::string& name, const peer::Frame& frame,
                 Clock::time_point now);
  /**
   * Handles a frame on a connection that another instance has opened: orders
   * and limits.
   * @param frame its frame.
   * @param reply next frame to it, or nullptr.
   * @param now current time.
   */
  void OnOrders(const peer::Frame& frame, peer::Frame* reply,
                Clock::time_point now);
  /** Adds the limits known to this instance to the first frame on a
   * connection. @param frame the frame. */
  void AddKnownLimits(peer::Frame& frame) const;

 private:
  /** A permit that was obtained for later use, or is being obtained. */
  struct KeptPermit {
    bool pending = false;
    Clock::time_point expires_at;
  };

  std::vector<std::string> IdsOf(
      const std::string& service,
      const std::function<bool(const routing::Upstream&)>& selects) const;
  bool Apply(routing::Upstream& upstream,
             const limits::LimitStatement& statement, Clock::time_point now);
  /** @return true if this instance passes on the limits of a service. */
  bool IsAnnouncer(const std::string& service) const;
  void Announce(const routing::Upstream& upstream);
  void Report(const routing::Upstream& upstream);
  void ApplyNotices(const peer::Frame& frame, peer::Frame* reply,
                    Clock::time_point now);
  void Order(const std::string& issuer, const peer::PermitOrder& order,
             Clock::time_point now);

  LimiterSettings settings_;
  const routing::UpstreamTable& upstreams_;
  LimiterLinks links_;
  routing::IssuerList issuers_;
  PermitIssuer issuer_;
  PermitRequester requester_;
  EntryMetrics* metrics_ = nullptr;
  /** Upstreams that have stated a limit, by process incarnation. */
  std::map<std::string, std::weak_ptr<routing::Upstream>> stated_;
  std::map<std::string, KeptPermit> kept_;  ///< By process incarnation.
  std::map<std::string, limits::ReturnSchedule> returns_;  ///< By service.
};

}  // namespace turmeric::entry
