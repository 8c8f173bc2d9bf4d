#pragma once

#include <optional>
#include <vector>

#include "turmeric/balancing/load_report.h"
#include "turmeric/balancing/speed_estimate.h"

namespace turmeric::balancing {

/** A request in progress, as known when it was sent. */
struct OpenSend {
  Clock::time_point at;
  double pace = 1;  ///< Pace of the upstream.
};

/** A change of the expected service time of an upstream, per unit of work. */
struct SpeedChange {
  double before = 0;
  double after = 0;
};

/**
 * The load and the speed of one upstream as seen by one instance: its last
 * report, the requests that this instance has sent since, and the learned
 * service time. A report counts less with its age. The requests of this
 * instance in progress always count, so that an upstream which reports that it
 * is idle while it is not gains at most a free slot.
 */
class UpstreamLoad {
 public:
  /**
   * Records a request sent to the upstream.
   * @param now current time.
   * @return to be passed to OnServed() and OnEnd().
   */
  OpenSend OnSend(Clock::time_point now);
  /** Records the end of a request, answered or not. @param send the request. */
  void OnEnd(const OpenSend& send);
  /** @param report of an answer; ignored if it has invalid values. */
  void OnReport(LoadReport report);
  /**
   * Learns from a request whose answer has begun. If the answer had a report,
   * OnReport() has to be called before. The request still counts as in
   * progress.
   * @param send the request. @param work units of work that it was.
   * @param now when the answer was received.
   */
  void OnServed(const OpenSend& send, double work, Clock::time_point now);

  /**
   * @param mean requests that an upstream of the service has, by the reports of
   *     all. @param now current time.
   * @return expected number of requests ahead of a new one: the reported ones,
   *     which fade towards the usual number of this upstream and then towards
   *     `mean`, and those that this instance has sent since.
   */
  double Ahead(double mean, Clock::time_point now) const;
  /** @param now current time. @return the pace expected for a new request. */
  double Pace(Clock::time_point now) const;
  /**
   * @param now current time.
   * @return time since the send of the oldest request of this instance that has
   *     no answer yet, ms; 0 if there is none.
   */
  double OldestUnansweredMs(Clock::time_point now) const;
  /**
   * @param now current time.
   * @return the change of the expected service time by half or more since the
   *     last one returned; nullopt: it has changed less.
   */
  std::optional<SpeedChange> TakeSpeedChange(Clock::time_point now);
  /** @param now current time. @return weight of the last report, 0 to 1. */
  double ReportWeight(Clock::time_point now) const;
  /**
   * @param now current time.
   * @return true if a recent report had a pace that matters.
   */
  bool HasPace(Clock::time_point now) const;

  /** @return the last report; nullopt: none was valid. */
  const std::optional<LoadReport>& report() const { return report_; }
  const SpeedEstimate& speed() const { return speed_; }
  /** @return requests of this instance that are in progress. */
  size_t open_sends() const { return open_.size(); }

 private:
  struct OpenRequest {
    Clock::time_point sent_at;
    bool answered = false;
  };

  std::optional<LoadReport> report_;
  double usual_ahead_ = 0;      ///< Moving average of the reported requests.
  Clock::time_point paced_at_;  ///< Last report with a pace that matters.
  SpeedEstimate speed_;
  double noted_speed_ = 0;         ///< See TakeSpeedChange(); 0: none.
  std::vector<OpenRequest> open_;  ///< In no order.
};

}  // namespace turmeric::balancing
