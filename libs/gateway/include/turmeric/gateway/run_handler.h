#pragma once

#include <QNetworkAccessManager>
#include <QObject>
#include <functional>
#include <memory>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <vector>

#include "turmeric/config/instance_settings.h"
#include "turmeric/gateway/admission.h"
#include "turmeric/gateway/claim_table.h"
#include "turmeric/gateway/gateway_metrics.h"
#include "turmeric/gateway/run_parser.h"
#include "turmeric/gateway/upstream_pools.h"
#include "turmeric/http/responder.h"
#include "turmeric/utils/trace.h"

namespace turmeric::http {
class HttpRequest;
}

namespace turmeric::config {
class SettingsTree;
}
namespace turmeric::memory {
class MemoryAccount;
}
namespace turmeric::gateway {

class StoreService;

/**
 * Handles run requests of callers: admission, at-most-once claim, execution,
 * answer. Event-loop thread only; store calls run on the store service's
 * executor.
 */
class RunHandler : public QObject {
 public:
  /**
   * @param settings settings of this instance.
   * @param tree the settings tree.
   * @param store the platform's store.
   * @param memory account that large requests are charged to.
   * @param live_instances returns the number of live instances.
   */
  RunHandler(const config::InstanceSettings& settings,
             const config::SettingsTree& tree, StoreService& store,
             memory::MemoryAccount& memory,
             std::function<int()> live_instances);
  ~RunHandler() override;

  /**
   * @param request run request of a caller.
   * @param responder writer of the answer.
   */
  void Handle(const http::HttpRequest& request, http::Responder&& responder);
  /**
   * Retries claim completions and releases that the store did not confirm;
   * called periodically.
   */
  void RetryPendingClaims();
  /**
   * Sends a final answer to every request in flight, because the process is
   * about to exit.
   * @return number of requests that were in flight.
   */
  int AbortOpenRequests();
  /**
   * Stops all processing without answering or writing claims, as a killed
   * process does.
   */
  void Kill();
  /** @return true once the settings have been read. */
  bool ready() const;
  /** @return true if nothing is in flight and all claims are written. */
  bool idle() const;

  /** @return admission control. */
  Admission& admission() { return admission_; }
  /** @return the instance's metrics. */
  GatewayMetrics& metrics() { return metrics_; }
  /** @return at-most-once claims. */
  ClaimTable& claims() { return claims_; }
  /** @return the upstream pools used for routing. */
  UpstreamPools& pools() { return pools_; }

 private:
  struct Exchange;
  using ExchangeRef = std::shared_ptr<Exchange>;

  /** @param responded true if the latest store call was answered. */
  void RecordStoreResult(bool responded);
  /**
   * @return as utils::RetryAfterMs; for an unreachable store the delay grows
   *     with the duration of the outage.
   */
  int RetryAfterMs(utils::Errc code) const;
  void Refuse(Exchange& exchange, utils::Errc code, std::string_view detail,
              utils::RunState state);
  /**
   * Ends an admitted request: releases its admission slot.
   * @param exchange the request.
   */
  void EndExchange(const ExchangeRef& exchange);
  void LookUpClaim(const ExchangeRef& exchange);
  void StartRun(const ExchangeRef& exchange);
  void AcquireClaim(const ExchangeRef& exchange,
                    std::function<void(const Claim&)> done);
  void OnRunDone(const ExchangeRef& exchange, const RunAnswer& answer);
  void FinishClaim(Exchange& exchange, const RunAnswer& answer,
                   const QByteArray& body);
  void RecordRequest(const Exchange& exchange, const RunAnswer& answer);
  void WriteReplay(Exchange& exchange, const std::string& body);
  /**
   * Runs `work` on a store thread and `done` on the event loop; the call counts
   * as open until `done` runs.
   */
  template <class Work, class Done>
  void RunOnStoreThread(Work work, Done done);
  int64_t ClaimExpiryUnixMs() const;

  const config::InstanceSettings settings_;
  const config::SettingsTree& tree_;
  StoreService& store_;
  memory::MemoryAccount& memory_;
  std::function<int()> live_instances_;
  /**
   * Random id of this process start, part of request ids, so that they stay
   * unique after a restart.
   */
  const std::string incarnation_;
  /**
   * QNetworkAccessManager opens at most 6 connections per host and port;
   * several managers raise this limit.
   */
  std::vector<std::unique_ptr<QNetworkAccessManager>> networks_;
  /**
   * For non-idempotent calls, without connection reuse: if an upstream closed a
   * reused connection just as a call is sent, the outcome of the call would be
   * unknown.
   */
  std::vector<std::unique_ptr<QNetworkAccessManager>> non_persistent_networks_;
  UpstreamPools pools_;
  Admission admission_;
  /** Requests admitted and not yet ended. */
  std::set<std::weak_ptr<Exchange>, std::owner_less<>> open_exchanges_;
  GatewayMetrics metrics_;
  utils::SpanSink spans_;
  ClaimTable claims_;
  std::mt19937_64 rng_;
  int64_t next_request_ = 0;
  int open_store_calls_ = 0;  ///< Claim calls in progress on store threads.
  bool retrying_claims_ = false;
  std::optional<Clock::time_point> store_outage_since_;
  bool killed_ = false;
};

}  // namespace turmeric::gateway
