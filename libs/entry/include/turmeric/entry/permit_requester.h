#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <random>
#include <string>
#include <utility>
#include <vector>

#include "turmeric/peer/frame.h"
#include "turmeric/routing/issuer_list.h"
#include "turmeric/routing/upstream_table.h"

namespace turmeric::entry {

/** Requests a permit to send one request to an upstream with a rate limit. */
struct PermitRequest {
  std::string service;
  /** The upstream; null: any upstream of the service with a limit. */
  routing::UpstreamPtr upstream;
  std::vector<std::string> excluded;      ///< Upstream ids not to be chosen.
  std::chrono::milliseconds max_wait{0};  ///< Longest wait for the permit.
  /** Software version of any upstream; empty: all versions. */
  std::string version = {};
};

/**
 * Receives the upstream that one request may be sent to at once, and the
 * current time; nullptr: there is no permit within the longest wait. Called
 * once.
 */
using PermitCallback = std::function<void(const routing::UpstreamPtr&,
                                          routing::Clock::time_point)>;

/**
 * Obtains permits from the issuers of a service, and remembers when an issuer
 * that has refused one is expected to have the next. Time is passed in by the
 * caller.
 */
class PermitRequester {
 public:
  using Clock = routing::Clock;

  /** Connections to the issuers. */
  struct Links {
    /** @return true if the instance can be asked; this instance always can. */
    std::function<bool(const std::string& name)> reaches;
    /** Sends an order. Its answer is passed to OnPermit. */
    std::function<void(const std::string& name, const peer::PermitOrder&,
                       Clock::time_point now)>
        order;
  };

  /**
   * The referenced objects must outlive this.
   * @param upstreams the upstreams and their limits.
   * @param issuers the issuers of each service.
   * @param links see Links.
   */
  PermitRequester(const routing::UpstreamTable& upstreams,
                  const routing::IssuerList& issuers, Links links);

  /**
   * Requests a permit.
   * @param request see PermitRequest.
   * @param done called from inside this call or later.
   * @param now current time.
   */
  void Acquire(PermitRequest request, PermitCallback done,
               Clock::time_point now);
  /**
   * @param upstream with a limit.
   * @param max_wait longest wait for a permit.
   * @param now current time.
   * @return true if an issuer may have a permit for it within that wait.
   */
  bool MayBeGranted(const routing::Upstream& upstream,
                    std::chrono::milliseconds max_wait,
                    Clock::time_point now) const;
  /**
   * @param service its name.
   * @param now current time.
   * @return time until an issuer is expected to have a permit for any upstream
   *     of the service.
   */
  std::chrono::milliseconds ExpectedWait(const std::string& service,
                                         Clock::time_point now) const;
  /**
   * Receives the answer to an order.
   * @param issuer name of the instance that has answered.
   * @param permit its answer.
   * @param now current time.
   * @return the upstream whose limit the issuer does not know; nullptr: it
   *     knows it, or the order is no longer open.
   */
  routing::UpstreamPtr OnPermit(const std::string& issuer,
                                const peer::Permit& permit,
                                Clock::time_point now);
  /** Ends orders without an answer and passes on permits that may be used now.
   * Must be called every few milliseconds while has_open(). @param now current
   * time. */
  void Tick(Clock::time_point now);
  /** @return true if requests are open. */
  bool has_open() const { return !open_.empty(); }

 private:
  struct Open {
    PermitRequest request;
    PermitCallback done;
    std::string issuer;  ///< Has the order.
    std::vector<std::string> asked;
    Clock::time_point ordered_at;
    routing::UpstreamPtr granted;
    Clock::time_point slot;  ///< When the granted permit may be used.
  };
  /** What an issuer has refused. */
  struct Refusal {
    Clock::time_point free_at;  ///< Next permit is expected.
    int consecutive = 0;
  };
  /** Issuer, and process incarnation of an upstream or name of a service. */
  using RefusalKey = std::pair<std::string, std::string>;

  void AskNext(uint64_t ticket, Clock::time_point now);
  void Complete(uint64_t ticket, const routing::UpstreamPtr& upstream,
                Clock::time_point now);
  void NoteRefusal(const RefusalKey& key, std::chrono::milliseconds wait,
                   Clock::time_point now);
  bool MayAsk(const std::string& issuer, const std::string& subject,
              std::chrono::milliseconds max_wait, Clock::time_point now) const;
  /** @return true if the granted permit may be used at its slot. */
  static bool IsUsable(const Open& open, Clock::time_point now);
  static std::string SubjectOf(const PermitRequest& request);
  double Uniform();

  const routing::UpstreamTable& upstreams_;
  const routing::IssuerList& issuers_;
  Links links_;
  std::map<uint64_t, Open> open_;  ///< By ticket.
  std::map<RefusalKey, Refusal> refusals_;
  /** Issuers that did not answer an order, and until when none is sent. */
  std::map<std::string, Clock::time_point> unanswered_until_;
  std::minstd_rand random_{std::random_device{}()};
  uint64_t next_ticket_ = 1;
};

}  // namespace turmeric::entry
