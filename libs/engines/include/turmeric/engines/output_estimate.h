#pragma once

#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace turmeric::engines {

/** What is known about the output of a request before it runs. */
struct OutputHint {
  int64_t hinted = 0;   ///< The caller's estimate, tokens; 0: none.
  int64_t maximum = 0;  ///< Stated maximum, tokens; 0: none.
};

/** The output of a stream that has ended whole. */
struct OutputSeen {
  int64_t events = 0;
  std::optional<int64_t> tokens;  ///< nullopt: not stated.
  int64_t hinted = 0;             ///< See OutputHint.
};

/**
 * Estimates the output tokens of requests by route. Load: callers hint at the
 * output length; the hint is right at the median but often far off. The
 * estimate is the hint times the 0.8 quantile of seen to hinted output, so that
 * four of five requests need no more memory than is reserved for them, and not
 * the stated maximum, which is several times the usual output and would leave
 * most of an engine unused.
 *
 * An event may hold several tokens. As long as no stream has stated its tokens,
 * the median of events to hints counts as one token per hinted token, because
 * hints are right at the median.
 */
class OutputEstimate {
 public:
  /**
   * Records the output of a stream. Samples that are not positive are ignored.
   * @param route name of the route. @param seen its output.
   */
  void Note(std::string_view route, const OutputSeen& seen);
  /**
   * @param route name of the route. @param hint of the request.
   * @return expected output, tokens, at most the stated maximum; the maximum if
   *     nothing else is known.
   */
  int64_t Tokens(std::string_view route, const OutputHint& hint) const;

 private:
  struct Route {
    /** Events per hinted token of the latest streams, a ring. */
    std::vector<double> ratios;
    size_t next = 0;
    double median = 0;  ///< Of `ratios`.
    double high = 0;    ///< The 0.8 quantile of `ratios`.
    double mean_events = 0;
    int64_t streams = 0;
    double tokens_per_event = 0;  ///< Moving mean; 0: never stated.
  };
  /** @return tokens per event; nullopt: not known yet. */
  static std::optional<double> TokensPerEvent(const Route& route);
  static void AddRatio(Route& route, double ratio);

  std::map<std::string, Route, std::less<>> routes_;
};

}  // namespace turmeric::engines
