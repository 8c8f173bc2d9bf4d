#pragma once

#include <QByteArray>
#include <QList>
#include <QObject>
#include <QPair>
#include <QString>
#include <chrono>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

class QNetworkAccessManager;

namespace turmeric::ctl {

/** One attempt of a logical request. */
struct LoadRequest {
  QString url;
  QByteArray body;
  QList<QPair<QByteArray, QByteArray>> headers;
  std::string nonce;  ///< Unique word in the input; the answer must contain it.
  std::string business;
};

/** Outcome of one logical request after the retries of the caller. */
struct LoadResult {
  std::string business;
  double latency_ms = 0;  ///< From the first send to the final answer.
  int status = 0;         ///< HTTP status of the final answer; 0: none.
  std::string state;      ///< "ran", "not_run", "failed", "unknown" or "".
  std::string error;      ///< Name of the result code in the final answer.
  bool complete_in_time = false;  ///< Complete answer within the deadline.
  bool misdelivered = false;      ///< Own nonce missing or foreign nonce found.
  int attempts = 0;
  /** Ports of instances that ended the connection without an answer, once per
   * attempt. */
  std::vector<int> cut_ports;
};

/** Makes attempt `attempt` (0-based) of logical request `index`. */
using RequestMaker = std::function<LoadRequest(int index, int attempt)>;

/**
 * Closed-loop load: keeps `concurrency` logical requests in flight until
 * `total` are done or `time_cap_ms` has elapsed. Within the deadline, retries a
 * request up to `max_retries` times after a transport error or after an answer
 * with a `retry_after_ms` whose state is not "ran".
 */
class LoadRunner : public QObject {
 public:
  /**
   * @param concurrency logical requests in flight at once.
   * @param total number of logical requests.
   * @param deadline_ms deadline of each logical request.
   * @param max_retries of the caller per logical request.
   * @param make makes each attempt of each request.
   */
  LoadRunner(int concurrency, int total, int deadline_ms, int max_retries,
             RequestMaker make);
  ~LoadRunner() override;
  /**
   * Runs the load in a local event loop.
   * @param time_cap_ms time after which the run is ended.
   * @return one result per started logical request.
   */
  std::vector<LoadResult> Run(int time_cap_ms);

 private:
  struct OpenRequest;
  void StartNext();
  void Send(std::shared_ptr<OpenRequest> open);

  int concurrency_;
  int total_;
  int deadline_ms_;
  int max_retries_;
  RequestMaker make_;
  std::vector<std::unique_ptr<QNetworkAccessManager>> networks_;
  std::vector<LoadResult> results_;
  int started_ = 0;
  int finished_ = 0;
  std::function<void()> on_all_done_;
};

/** Summary of the results of one business or of all. */
struct LoadSummary {
  int count = 0;
  int complete_in_time = 0;
  int ran = 0, not_run = 0, failed = 0, unknown = 0, no_answer = 0;
  int misdelivered = 0;
  std::map<std::string, int> errors;  ///< By result code, state not "ran".
  double p50_ms = 0, p99_ms = 0;
  /** @return fraction with a complete answer within the deadline. */
  double attainment() const {
    return count ? static_cast<double>(complete_in_time) / count : 0;
  }
};

/** @param results to be summarized. @param business only results of this
 * business; empty: all. @return the summary. */
LoadSummary Summarize(const std::vector<LoadResult>& results,
                      const std::string& business);

}  // namespace turmeric::ctl
