#include "turmeric/entry/entry_metrics.h"

#include <prometheus/text_serializer.h>

#include <sstream>

#include "turmeric/utils/decision_log.h"

namespace turmeric::entry {

namespace {

/** Upper bounds of the latency histogram, s: around the usual latency
 * targets and deadlines. */
const prometheus::Histogram::BucketBoundaries kLatencyBounds = {
    0.01, 0.03, 0.1, 0.2, 0.3, 0.5, 0.8, 1.2, 1.6, 2.0, 3.0, 6.0, 20.0};

}  // namespace

EntryMetrics::EntryMetrics()
    : registry_(std::make_shared<prometheus::Registry>()),
      requests_(prometheus::BuildCounter()
                    .Name("turmeric_entry_requests_total")
                    .Help("Requests by route, status and outcome")
                    .Register(*registry_)),
      repeats_(prometheus::BuildCounter()
                   .Name("turmeric_entry_repeats_total")
                   .Help("Sends beyond a request's first, by service")
                   .Register(*registry_)),
      repeats_refused_(prometheus::BuildCounter()
                           .Name("turmeric_entry_repeats_refused_total")
                           .Help("Repeats not sent for want of retry budget")
                           .Register(*registry_)),
      store_calls_(prometheus::BuildCounter()
                       .Name("turmeric_entry_store_calls_total")
                       .Help("Calls to the platform's store")
                       .Register(*registry_)),
      followers_(prometheus::BuildGauge()
                     .Name("turmeric_entry_store_followers")
                     .Help("Instances that the store's changes are passed to")
                     .Register(*registry_)
                     .Add({})),
      store_age_(prometheus::BuildGauge()
                     .Name("turmeric_entry_store_age_seconds")
                     .Help("Since the store was last heard by any path")
                     .Register(*registry_)
                     .Add({})),
      quarantined_(prometheus::BuildGauge()
                       .Name("turmeric_entry_quarantined_works")
                       .Help("Requests refused, as upstreams end under them")
                       .Register(*registry_)
                       .Add({})),
      evacuated_(prometheus::BuildGauge()
                     .Name("turmeric_entry_evacuated_upstreams")
                     .Help("Upstreams that get nothing new, by their zone")
                     .Register(*registry_)
                     .Add({})),
      latency_(prometheus::BuildHistogram()
                   .Name("turmeric_entry_latency_seconds")
                   .Help("Time from arrival to the final answer")
                   .Register(*registry_)),
      dropped_lines_(prometheus::BuildCounter()
                         .Name("turmeric_log_lines_dropped_total")
                         .Help("Log lines dropped to bound their volume")
                         .Register(*registry_)
                         .Add({})) {}

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

void EntryMetrics::OnRepeat(std::string_view service) {
  repeats_.Add({{"service", std::string(service)}}).Increment();
}

void EntryMetrics::OnRepeatRefused(std::string_view service) {
  repeats_refused_.Add({{"service", std::string(service)}}).Increment();
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

void EntryMetrics::SetQuarantined(size_t works) {
  quarantined_.Set(static_cast<double>(works));
}

void EntryMetrics::SetEvacuated(size_t upstreams) {
  evacuated_.Set(static_cast<double>(upstreams));
}

std::string EntryMetrics::Render() {
  const double seen = static_cast<double>(utils::DecisionLog::dropped());
  dropped_lines_.Increment(seen - dropped_lines_.Value());
  return prometheus::TextSerializer().Serialize(registry_->Collect());
}

}  // namespace turmeric::entry
