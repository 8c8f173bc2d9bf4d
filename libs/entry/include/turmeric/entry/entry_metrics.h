#pragma once

#include <prometheus/counter.h>
#include <prometheus/family.h>
#include <prometheus/histogram.h>
#include <prometheus/registry.h>

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
  /** One call to the platform's store. @param outcome a short fixed word. */
  void OnStoreCall(std::string_view outcome);
  /** @return the text exposition. */
  std::string Render();

 private:
  std::shared_ptr<prometheus::Registry> registry_;
  prometheus::Family<prometheus::Counter>& requests_;
  prometheus::Family<prometheus::Counter>& repeats_;
  prometheus::Family<prometheus::Counter>& store_calls_;
  prometheus::Family<prometheus::Histogram>& latency_;
  prometheus::Counter& dropped_lines_;
};

}  // namespace turmeric::entry
