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

class QHttpServerRequest;

namespace turmeric::config {
class SettingsTree;
}
namespace turmeric::gateway {

class StoreService;

/**
 * Takes callers' run requests through admission, at-most-once claims and the
 * executor to their answers. Event-loop thread only; store calls go through
 * the store service's executor.
 */
class RunHandler : public QObject {
 public:
  /**
   * @param settings this instance's settings. @param tree the settings tree.
   * @param store the platform's store.
   * @param live_instances how many instances are at work.
   */
  RunHandler(const config::InstanceSettings& settings,
             const config::SettingsTree& tree, StoreService& store,
             std::function<int()> live_instances);
  ~RunHandler() override;

  /** @param request a caller's request. @param responder its answer. */
  void Handle(const QHttpServerRequest& request, http::Responder&& responder);
  /** Retries what the store could not take; called now and then. */
  void Recover();
  /**
   * The process is about to exit: every request still open gets its final
   * answer now. @return how many were open.
   */
  int EndOpen();
  /** Forgets everything in flight, as a killed process does. */
  void Kill();
  /** @return true once the settings have been read. */
  bool ready() const;
  /** @return true when nothing is in flight and all claims are written. */
  bool idle() const;

  /** @return who is let in. */
  Admission& admission() { return admission_; }
  /** @return the instance's metrics. */
  GatewayMetrics& metrics() { return metrics_; }
  /** @return at-most-once claims. */
  ClaimTable& claims() { return claims_; }
  /** @return the upstreams routed to. */
  UpstreamPools& pools() { return pools_; }

 private:
  struct Exchange;
  using ExchangeRef = std::shared_ptr<Exchange>;

  /** @param answers whether the store just answered. */
  void NoteStore(bool answers);
  /** @return as utils::RetryAfterMs, longer the longer the store is down. */
  int RetryAfterMs(utils::Errc code) const;
  void Refuse(Exchange& exchange, utils::Errc code, std::string_view detail,
              utils::RunState state);
  /** @param exchange admitted, and ended now. */
  void Leave(const ExchangeRef& exchange);
  void LookUpClaim(const ExchangeRef& exchange);
  void StartRun(const ExchangeRef& exchange);
  void AcquireClaim(const ExchangeRef& exchange,
                    std::function<void(const Claim&)> done);
  void OnRunDone(const ExchangeRef& exchange, const RunAnswer& answer);
  void SettleClaim(Exchange& exchange, const RunAnswer& answer,
                   const QByteArray& body);
  void Record(const Exchange& exchange, const RunAnswer& answer);
  void WriteReplay(Exchange& exchange, const std::string& body);
  /** Runs claim work on a store thread; counted until it is done. */
  template <class Work, class Done>
  void OnStore(Work work, Done done);
  int64_t KeepUntilUnixMs() const;

  const config::InstanceSettings settings_;
  const config::SettingsTree& tree_;
  StoreService& store_;
  std::function<int()> live_instances_;
  /** Part of request ids: they must not repeat after a restart. */
  const std::string incarnation_;
  /** Qt opens at most 6 connections per upstream per manager; a few
   * managers lift the cap. */
  std::vector<std::unique_ptr<QNetworkAccessManager>> networks_;
  /** Non-idempotent calls: a kept connection the upstream closes just as
   * the call is sent would leave its outcome unknown, so none is kept. */
  std::vector<std::unique_ptr<QNetworkAccessManager>> fresh_networks_;
  UpstreamPools pools_;
  Admission admission_;
  /** Admitted and not ended. */
  std::set<std::weak_ptr<Exchange>, std::owner_less<>> open_;
  GatewayMetrics metrics_;
  utils::SpanSink spans_;
  ClaimTable claims_;
  std::mt19937_64 rng_;
  int64_t next_request_ = 0;
  int store_work_ = 0;  ///< Claim calls open on store threads.
  bool recovering_ = false;
  std::optional<Clock::time_point> store_down_since_;
  bool killed_ = false;
};

}  // namespace turmeric::gateway
