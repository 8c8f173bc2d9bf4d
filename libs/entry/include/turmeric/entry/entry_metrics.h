#pragma once

#include <prometheus/counter.h>
#include <prometheus/family.h>
#include <prometheus/gauge.h>
#include <prometheus/histogram.h>
#include <prometheus/registry.h>

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <set>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include "turmeric/fairness/share_plan.h"

namespace turmeric::memory {
class MemoryAccount;
}

namespace turmeric::entry {

/** The learned speed of one upstream. */
struct UpstreamSpeed {
  std::string service;
  std::string upstream;  ///< Id of the upstream.
  /** Service time, as a multiple of the mean of the service. */
  double relative = 1;
};

/** Counters and latency histograms of one entry instance. */
class EntryMetrics {
 public:
  EntryMetrics();
  /**
   * Records the final answer to a request.
   * @param route name of the route, empty if none matched.
   * @param status status sent to the caller, 0 if the caller had disconnected.
   * @param outcome reason, a fixed word.
   * @param seconds time since the arrival of the request.
   */
  void OnRequest(std::string_view route, int status, std::string_view outcome,
                 double seconds);
  /**
   * Records a send to an upstream beyond a request's first.
   * @param service service of the upstream.
   */
  void OnRetry(std::string_view service);
  /**
   * Records a retry that was not sent because the retry budget was exhausted.
   * @param service service of the retry.
   */
  void OnRetryRefused(std::string_view service);
  /**
   * Records a request to an upstream that states a rate limit.
   * @param service service of the upstream.
   */
  void OnLimitedSend(std::string_view service);
  /**
   * Records a request for a permit to send to an upstream with a rate limit.
   * @param service service of the upstream.
   * @param granted true if a permit was obtained.
   */
  void OnPermit(std::string_view service, bool granted);
  /**
   * Records an upstream that begins to state that it leaves.
   * @param service service of the upstream.
   */
  void OnLeavingStated(std::string_view service);
  /**
   * Records an upstream that begins a rest.
   * @param service service of the upstream.
   */
  void OnRestStated(std::string_view service);
  /**
   * Records a search for the software version that began a stream which a
   * caller resumes.
   * @param how the source that told the version, or "unknown".
   */
  void OnStreamResumed(std::string_view how);
  /**
   * Records a call to the platform's store.
   * @param kind kind of objects.
   * @param call list, stale_list, watch or put.
   * @param outcome a fixed word.
   */
  void OnStoreCall(std::string_view kind, std::string_view call,
                   std::string_view outcome);
  /**
   * @param followers number of instances that this one passes changes on to.
   * @param store_age time since the store's last answer on any path.
   */
  void SetStorePaths(int followers, std::chrono::milliseconds store_age);
  /**
   * @param requests number of requests whose copies are refused because
   *     upstreams crash while running them.
   */
  void SetQuarantined(size_t requests);
  /**
   * @param upstreams number of upstreams that receive no new requests because
   *     their zone is evacuated.
   */
  void SetEvacuated(size_t upstreams);
  /**
   * @param tunnelled number of upstreams reached through peer instances only.
   * @param unreached number of upstreams not reached at all.
   */
  void SetUnreached(int tunnelled, int unreached);
  /**
   * Records a request that found no free connection to an upstream.
   * @param service service of the upstream.
   */
  void OnConnectionShortage(std::string_view service);
  /**
   * Records the answer to an order of connections.
   * @param service service of the upstream.
   * @param granted true if any were lent.
   */
  void OnLoan(std::string_view service, bool granted);
  /**
   * Records a connection of a caller that was closed unread.
   * @param reason a fixed word.
   */
  void OnLeftUnread(std::string_view reason);
  /** Records a connection of a caller that was closed, as a new one needed its
   * place. @param state see http::ClosedConnection. */
  void OnCallerClosedForNew(std::string_view state);
  /** Records a request that was refused because the memory is full. */
  void OnMemoryRefusal();
  /**
   * Records a request that was refused before it was complete.
   * @param reason a fixed word.
   */
  void OnReceptionRefused(std::string_view reason);
  /**
   * Records a request that was malformed, beyond a limit or too slow.
   * @param status of the response.
   */
  void OnRejected(int status);
  /**
   * Records a connection that was closed or reset, as others have all places.
   * @param address a fixed word: readiness, metrics or tunnel.
   */
  void OnConnectionShed(std::string_view address);
  /** @param account the bytes that the instance holds in buffers.
   * @param large_requests the bytes of large requests. */
  void SetBuffered(const memory::MemoryAccount& account,
                   const memory::MemoryAccount& large_requests);
  /**
   * Replaces the learned speeds of upstreams.
   * @param speeds at most 64 of them.
   */
  void SetUpstreamSpeeds(std::span<const UpstreamSpeed> speeds);
  /**
   * Records a request that is refused because its organisation is above its
   * share. Of the organisations, the first 16 that are limited have a label of
   * their own, the others have the label "other".
   * @param service service of the request. @param organisation its name.
   */
  void OnShareRefusal(std::string_view service, std::string_view organisation);
  /**
   * @param service its name. @param limited organisations above their share;
   * see OnShareRefusal for their labels. Demands with one label are added up.
   */
  void SetShareDemands(std::string_view service,
                       std::span<const fairness::LimitedOrganisation> limited);
  /**
   * Records a placement on an engine without room for the request.
   * @param service service of the engine.
   */
  void OnPlacementWithoutRoom(std::string_view service);
  /**
   * @param service an engine service.
   * @param tokens memory that open placements by this instance occupy.
   */
  void SetTokensPromised(std::string_view service, int64_t tokens);
  /** @return the metrics in the Prometheus text format. */
  std::string Render();

 private:
  std::string OrganisationLabel(std::string_view organisation);

  std::shared_ptr<prometheus::Registry> registry_;
  prometheus::Family<prometheus::Counter>& requests_;
  prometheus::Family<prometheus::Counter>& retries_;
  prometheus::Family<prometheus::Counter>& retries_refused_;
  prometheus::Family<prometheus::Counter>& limited_sends_;
  prometheus::Family<prometheus::Counter>& permits_;
  prometheus::Family<prometheus::Counter>& leaving_stated_;
  prometheus::Family<prometheus::Counter>& rests_stated_;
  prometheus::Family<prometheus::Counter>& resumed_;
  prometheus::Family<prometheus::Counter>& store_calls_;
  prometheus::Family<prometheus::Counter>& connection_shortages_;
  prometheus::Family<prometheus::Counter>& loans_;
  prometheus::Family<prometheus::Counter>& left_unread_;
  prometheus::Family<prometheus::Counter>& without_room_;
  prometheus::Family<prometheus::Gauge>& tokens_promised_;
  prometheus::Gauge& followers_;
  prometheus::Gauge& store_age_;
  prometheus::Gauge& quarantined_;
  prometheus::Gauge& evacuated_;
  prometheus::Family<prometheus::Gauge>& unreached_family_;
  prometheus::Gauge& tunnelled_;
  prometheus::Gauge& unreached_;
  prometheus::Family<prometheus::Histogram>& latency_;
  prometheus::Counter& dropped_lines_;
  prometheus::Family<prometheus::Gauge>& buffered_;
  prometheus::Counter& memory_refusals_;
  prometheus::Family<prometheus::Counter>& reception_refusals_;
  prometheus::Family<prometheus::Counter>& closed_for_new_;
  prometheus::Family<prometheus::Counter>& rejected_;
  prometheus::Family<prometheus::Counter>& shed_;
  prometheus::Family<prometheus::Gauge>& speed_family_;
  std::vector<prometheus::Gauge*> speeds_;  ///< Of `speed_family_`.
  prometheus::Family<prometheus::Counter>& share_refusals_;
  prometheus::Family<prometheus::Gauge>& share_demand_;
  /** Organisations with a label of their own. */
  std::set<std::string, std::less<>> labelled_;
};

}  // namespace turmeric::entry
