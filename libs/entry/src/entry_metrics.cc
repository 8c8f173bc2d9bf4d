#include "turmeric/entry/entry_metrics.h"

#include <prometheus/text_serializer.h>

#include <map>
#include <sstream>

#include "turmeric/memory/memory_account.h"
#include "turmeric/utils/decision_log.h"

namespace turmeric::entry {

namespace {

/**
 * Upper bounds of the latency histogram in seconds, close to the usual latency
 * targets and deadlines.
 */
const prometheus::Histogram::BucketBoundaries kLatencyBounds = {
    0.01, 0.03, 0.1, 0.2, 0.3, 0.5, 0.8, 1.2, 1.6, 2.0, 3.0, 6.0, 20.0};

/** Bound of the labels of organisations, of which a deployment may have many
 * thousands. */
constexpr size_t kMaxOrganisationLabels = 16;
constexpr std::string_view kOtherLabel = "other";

}  // namespace

EntryMetrics::EntryMetrics()
    : registry_(std::make_shared<prometheus::Registry>()),
      requests_(prometheus::BuildCounter()
                    .Name("turmeric_entry_requests_total")
                    .Help("Requests by route, status and outcome")
                    .Register(*registry_)),
      retries_(prometheus::BuildCounter()
                   .Name("turmeric_entry_repeats_total")
                   .Help("Sends beyond a request's first, by service")
                   .Register(*registry_)),
      retries_refused_(
          prometheus::BuildCounter()
              .Name("turmeric_entry_repeats_refused_total")
              .Help("Retries not sent because the retry budget was exhausted")
              .Register(*registry_)),
      limited_sends_(prometheus::BuildCounter()
                         .Name("turmeric_entry_limited_sends_total")
                         .Help("Requests to upstreams that state a rate limit")
                         .Register(*registry_)),
      permits_(prometheus::BuildCounter()
                   .Name("turmeric_entry_permits_total")
                   .Help("Permits requested for upstreams with a rate limit, "
                         "by result")
                   .Register(*registry_)),
      leaving_stated_(prometheus::BuildCounter()
                          .Name("turmeric_entry_upstreams_leaving_total")
                          .Help("Upstreams that stated in an answer that they "
                                "leave")
                          .Register(*registry_)),
      rests_stated_(prometheus::BuildCounter()
                        .Name("turmeric_entry_upstream_rests_total")
                        .Help("Rests that upstreams asked this instance for")
                        .Register(*registry_)),
      resumed_(prometheus::BuildCounter()
                   .Name("turmeric_entry_resumed_streams_total")
                   .Help("Streams that callers resume, by the source that "
                         "told the software version which began them")
                   .Register(*registry_)),
      store_calls_(prometheus::BuildCounter()
                       .Name("turmeric_entry_store_calls_total")
                       .Help("Calls to the platform's store")
                       .Register(*registry_)),
      connection_shortages_(
          prometheus::BuildCounter()
              .Name("turmeric_entry_connection_shortages_total")
              .Help("Requests that found no free connection to an upstream")
              .Register(*registry_)),
      loans_(prometheus::BuildCounter()
                 .Name("turmeric_entry_connection_loans_total")
                 .Help("Orders of connections to upstreams beyond this "
                       "instance's share, by result")
                 .Register(*registry_)),
      left_unread_(prometheus::BuildCounter()
                       .Name("turmeric_entry_left_unread_total")
                       .Help("Connections of callers that were closed unread, "
                             "by reason")
                       .Register(*registry_)),
      without_room_(prometheus::BuildCounter()
                        .Name("turmeric_placements_without_room_total")
                        .Help("Requests placed on an engine without room for "
                              "them, as no engine had room")
                        .Register(*registry_)),
      tokens_promised_(
          prometheus::BuildGauge()
              .Name("turmeric_engine_tokens_promised")
              .Help("Memory of engines that open placements occupy, in tokens")
              .Register(*registry_)),
      followers_(
          prometheus::BuildGauge()
              .Name("turmeric_entry_store_followers")
              .Help("Instances that this one passes the store's changes on to")
              .Register(*registry_)
              .Add({})),
      store_age_(
          prometheus::BuildGauge()
              .Name("turmeric_entry_store_age_seconds")
              .Help("Time since the last answer of the store on any path")
              .Register(*registry_)
              .Add({})),
      quarantined_(
          prometheus::BuildGauge()
              .Name("turmeric_entry_quarantined_works")
              .Help(
                  "Requests refused because upstreams crash while running them")
              .Register(*registry_)
              .Add({})),
      evacuated_(prometheus::BuildGauge()
                     .Name("turmeric_entry_evacuated_upstreams")
                     .Help("Upstreams that get no new requests, as their "
                           "zone is evacuated")
                     .Register(*registry_)
                     .Add({})),
      unreached_family_(
          prometheus::BuildGauge()
              .Name("turmeric_entry_unreached_upstreams")
              .Help("Upstreams that this instance does not reach directly, by "
                    "the path that is left")
              .Register(*registry_)),
      tunnelled_(unreached_family_.Add({{"path", "tunnel"}})),
      unreached_(unreached_family_.Add({{"path", "none"}})),
      latency_(prometheus::BuildHistogram()
                   .Name("turmeric_entry_latency_seconds")
                   .Help("Time from arrival to the final answer")
                   .Register(*registry_)),
      dropped_lines_(prometheus::BuildCounter()
                         .Name("turmeric_log_lines_dropped_total")
                         .Help("Log lines dropped to bound their volume")
                         .Register(*registry_)
                         .Add({})),
      buffered_(prometheus::BuildGauge()
                    .Name("turmeric_buffered_bytes")
                    .Help("Bytes held in buffers, by what they are held for")
                    .Register(*registry_)),
      memory_refusals_(
          prometheus::BuildCounter()
              .Name("turmeric_memory_refusals_total")
              .Help("Requests refused because the memory for buffers is full")
              .Register(*registry_)
              .Add({})),
      reception_refusals_(
          prometheus::BuildCounter()
              .Name("turmeric_reception_refusals_total")
              .Help("Large requests refused before they were complete")
              .Register(*registry_)),
      closed_for_new_(
          prometheus::BuildCounter()
              .Name("turmeric_entry_closed_for_new_total")
              .Help("Connections of callers that were closed for new "
                    "ones, by what they did")
              .Register(*registry_)),
      rejected_(prometheus::BuildCounter()
                    .Name("turmeric_rejected_requests_total")
                    .Help("Requests that were malformed, beyond a limit or "
                          "too slow, by status")
                    .Register(*registry_)),
      shed_(prometheus::BuildCounter()
                .Name("turmeric_entry_shed_connections_total")
                .Help("Connections closed as others had all places")
                .Register(*registry_)),
      speed_family_(prometheus::BuildGauge()
                        .Name("turmeric_upstream_speed")
                        .Help("Learned service time of an upstream, as a "
                              "multiple of the mean of its service")
                        .Register(*registry_)),
      share_refusals_(prometheus::BuildCounter()
                          .Name("turmeric_share_refusals_total")
                          .Help("Requests refused because their organisation "
                                "is above its share")
                          .Register(*registry_)),
      share_demand_(prometheus::BuildGauge()
                        .Name("turmeric_share_demand")
                        .Help("Work that organisations above their share "
                              "demand, in slot milliseconds per second")
                        .Register(*registry_)) {}

void EntryMetrics::OnRequest(std::string_view route, int status,
                             std::string_view outcome, double seconds) {
  const std::string name(route);
  requests_
      .Add({{"route", name},
            {"status", std::to_string(status)},
            {"outcome", std::string(outcome)}})
      .Increment();
  latency_.Add({{"route", name}}, kLatencyBounds).Observe(seconds);
}

void EntryMetrics::OnRetry(std::string_view service) {
  retries_.Add({{"service", std::string(service)}}).Increment();
}

void EntryMetrics::OnRetryRefused(std::string_view service) {
  retries_refused_.Add({{"service", std::string(service)}}).Increment();
}

void EntryMetrics::OnLimitedSend(std::string_view service) {
  limited_sends_.Add({{"service", std::string(service)}}).Increment();
}

void EntryMetrics::OnPermit(std::string_view service, bool granted) {
  permits_
      .Add({{"service", std::string(service)},
            {"result", granted ? "granted" : "refused"}})
      .Increment();
}

void EntryMetrics::OnLeavingStated(std::string_view service) {
  leaving_stated_.Add({{"service", std::string(service)}}).Increment();
}

void EntryMetrics::OnRestStated(std::string_view service) {
  rests_stated_.Add({{"service", std::string(service)}}).Increment();
}

void EntryMetrics::OnStreamResumed(std::string_view how) {
  resumed_.Add({{"how", std::string(how)}}).Increment();
}

void EntryMetrics::OnConnectionShortage(std::string_view service) {
  connection_shortages_.Add({{"service", std::string(service)}}).Increment();
}

void EntryMetrics::OnLoan(std::string_view service, bool granted) {
  loans_
      .Add({{"service", std::string(service)},
            {"result", granted ? "granted" : "refused"}})
      .Increment();
}

void EntryMetrics::OnLeftUnread(std::string_view reason) {
  left_unread_.Add({{"reason", std::string(reason)}}).Increment();
}

void EntryMetrics::OnPlacementWithoutRoom(std::string_view service) {
  without_room_.Add({{"service", std::string(service)}}).Increment();
}

void EntryMetrics::SetTokensPromised(std::string_view service, int64_t tokens) {
  tokens_promised_.Add({{"service", std::string(service)}})
      .Set(static_cast<double>(tokens));
}

void EntryMetrics::OnStoreCall(std::string_view kind, std::string_view call,
                               std::string_view outcome) {
  store_calls_
      .Add({{"kind", std::string(kind)},
            {"call", std::string(call)},
            {"outcome", std::string(outcome)}})
      .Increment();
}

void EntryMetrics::SetStorePaths(int followers,
                                 std::chrono::milliseconds store_age) {
  followers_.Set(followers);
  store_age_.Set(std::chrono::duration<double>(store_age).count());
}

void EntryMetrics::SetQuarantined(size_t requests) {
  quarantined_.Set(static_cast<double>(requests));
}

void EntryMetrics::SetUnreached(int tunnelled, int unreached) {
  tunnelled_.Set(tunnelled);
  unreached_.Set(unreached);
}

void EntryMetrics::SetEvacuated(size_t upstreams) {
  evacuated_.Set(static_cast<double>(upstreams));
}

void EntryMetrics::OnMemoryRefusal() { memory_refusals_.Increment(); }

void EntryMetrics::OnCallerClosedForNew(std::string_view state) {
  closed_for_new_.Add({{"state", std::string(state)}}).Increment();
}

void EntryMetrics::OnRejected(int status) {
  rejected_.Add({{"status", std::to_string(status)}}).Increment();
}

void EntryMetrics::OnConnectionShed(std::string_view address) {
  shed_.Add({{"address", std::string(address)}}).Increment();
}

void EntryMetrics::OnReceptionRefused(std::string_view reason) {
  reception_refusals_.Add({{"reason", std::string(reason)}}).Increment();
}

void EntryMetrics::SetBuffered(const memory::MemoryAccount& account,
                               const memory::MemoryAccount& large_requests) {
  buffered_.Add({{"kind", "large_request"}})
      .Set(static_cast<double>(large_requests.total()));
  for (size_t i = 0; i < memory::kBufferKinds; ++i) {
    const auto kind = static_cast<memory::BufferKind>(i);
    buffered_.Add({{"kind", std::string(memory::kBufferKindNames[i])}})
        .Set(static_cast<double>(account.bytes(kind)));
  }
}

void EntryMetrics::SetUpstreamSpeeds(std::span<const UpstreamSpeed> speeds) {
  for (prometheus::Gauge* gauge : speeds_) speed_family_.Remove(gauge);
  speeds_.clear();
  for (const UpstreamSpeed& speed : speeds) {
    prometheus::Gauge& gauge = speed_family_.Add(
        {{"service", speed.service}, {"upstream", speed.upstream}});
    gauge.Set(speed.relative);
    speeds_.push_back(&gauge);
  }
}

std::string EntryMetrics::OrganisationLabel(std::string_view organisation) {
  if (labelled_.size() < kMaxOrganisationLabels) {
    labelled_.emplace(organisation);
  }
  return std::string(labelled_.contains(organisation) ? organisation
                                                      : kOtherLabel);
}

void EntryMetrics::OnShareRefusal(std::string_view service,
                                  std::string_view organisation) {
  share_refusals_
      .Add({{"service", std::string(service)},
            {"organisation", OrganisationLabel(organisation)}})
      .Increment();
}

void EntryMetrics::SetShareDemands(
    std::string_view service,
    std::span<const fairness::LimitedOrganisation> limited) {
  std::map<std::string, double> demands;
  for (const std::string& label : labelled_) demands[label] = 0;
  demands[std::string(kOtherLabel)] = 0;
  for (const fairness::LimitedOrganisation& organisation : limited) {
    demands[OrganisationLabel(organisation.organisation)] +=
        organisation.demand;
  }
  for (const auto& [label, demand] : demands) {
    share_demand_
        .Add({{"service", std::string(service)}, {"organisation", label}})
        .Set(demand);
  }
}

std::string EntryMetrics::Render() {
  const double dropped_total =
      static_cast<double>(utils::DecisionLog::dropped());
  dropped_lines_.Increment(dropped_total - dropped_lines_.Value());
  return prometheus::TextSerializer().Serialize(registry_->Collect());
}

}  // namespace turmeric::entry
