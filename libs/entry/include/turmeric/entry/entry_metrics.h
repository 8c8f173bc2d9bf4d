#pragma once

#include <prometheus/counter.h>
#include <prometheus/family.h>
#include <prometheus/gauge.h>
#include <prometheus/histogram.h>
#include <prometheus/registry.h>

#include <chrono>
#include <cstddef>
#include <memory>
#include <string>
#include <string_view>

namespace turmeric::entry {

/** Counters and latency histograms of one entry instance. */
class EntryMetrics {
 public:
  EntryMetrics();
  /**
   * One request has its final answer.
   * @param route the route's name, empty if none matched.
   * @param status the status the caller got, 0 if it had gone.
   * @param outcome why, a short fixed word. @param seconds since arrival.
   */
  void OnRequest(std::string_view route, int status, std::string_view outcome,
                 double seconds);
  /** One send to an upstream beyond a request's first. */
  void OnRepeat(std::string_view service);
  /** A repeat was not sent, as the retry budget was spent. @param service where
   * to. */
  void OnRepeatRefused(std::string_view service);
  /** One call to the platform's store. @param kind of objects. @param call
   * list, stale_list, watch or put. @param outcome a short fixed word. */
  void OnStoreCall(std::string_view kind, std::string_view call,
                   std::string_view outcome);
  /** @param followers instances that changes are passed on to.
   * @param store_age since the store was last heard by any path. */
  void SetStorePaths(int followers, std::chrono::milliseconds store_age);
  /** @param works requests whose copies are refused, as they end upstreams. */
  void SetQuarantined(size_t works);
  /** @param upstreams that get nothing new since their zone is evacuated. */
  void SetEvacuated(size_t upstreams);
  /** @return the text exposition. */
  std::string Render();

 private:
  std::shared_ptr<prometheus::Registry> registry_;
  prometheus::Family<prometheus::Counter>& requests_;
  prometheus::Family<prometheus::Counter>& repeats_;
  prometheus::Family<prometheus::Counter>& repeats_refused_;
  prometheus::Family<prometheus::Counter>& store_calls_;
  prometheus::Gauge& followers_;
  prometheus::Gauge& store_age_;
  prometheus::Gauge& quarantined_;
  prometheus::Gauge& evacuated_;
  prometheus::Family<prometheus::Histogram>& latency_;
  prometheus::Counter& dropped_lines_;
};

}  // namespace turmeric::entry
