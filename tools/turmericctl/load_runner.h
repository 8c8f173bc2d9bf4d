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

/** One request the load tool sends (or re-sends, as a caller would). */
struct LoadRequest {
  QString url;
  QByteArray body;
  QList<QPair<QByteArray, QByteArray>> headers;
  std::string nonce;  ///< Unique word in the input; the answer must echo it.
  std::string business;
};

/** What became of one logical request after the caller's retries. */
struct LoadResult {
  std::string business;
  double latency_ms = 0;  ///< From first send to final answer.
  int status = 0;         ///< HTTP status of the final answer; 0: none.
  std::string state;      ///< "ran", "not_run", "failed", "unknown", "" .
  std::string error;      ///< Result code's name in the final answer.
  bool whole_in_time = false;
  bool misdelivered = false;  ///< Answer carried another request's nonce.
  int attempts = 0;
  /** Ports whose connection ended without an answer after sending. */
  std::vector<int> cut_at;
};

/** Makes attempt `attempt` (0-based) of logical request `index`. */
using RequestMaker = std::function<LoadRequest(int index, int attempt)>;

/**
 * Closed-loop load: keeps `concurrency` logical requests open until `total`
 * are done or `time_cap_ms` passes. A caller retry follows a transport error
 * or a "not_run" answer, up to `max_retries`, inside the deadline.
 */
class LoadRunner : public QObject {
 public:
  /**
   * @param concurrency requests open at once.
   * @param total logical requests.
   * @param deadline_ms each request's deadline.
   * @param max_retries caller retries per request.
   * @param make request maker.
   */
  LoadRunner(int concurrency, int total, int deadline_ms, int max_retries,
             RequestMaker make);
  ~LoadRunner() override;
  /**
   * Runs to completion in a local event loop.
   * @param time_cap_ms hard stop.
   * @return one result per logical request started.
   */
  std::vector<LoadResult> Run(int time_cap_ms);

 private:
  struct Open;
  void StartNext();
  void Send(std::shared_ptr<Open> open);

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

/** Summary of results, per business or over all. */
struct LoadSummary {
  int count = 0;
  int whole_in_time = 0;
  int ran = 0, not_run = 0, failed = 0, unknown = 0, no_answer = 0;
  int misdelivered = 0;
  std::map<std::string, int> errors;  ///< Final answers but "ran", by code.
  double p50_ms = 0, p99_ms = 0;
  /** @return share answered whole within deadline. */
  double attainment() const {
    return count ? static_cast<double>(whole_in_time) / count : 0;
  }
};

/**
 * @param results load results.
 * @param business only this business; empty: all.
 * @return the summary.
 */
LoadSummary Summarize(const std::vector<LoadResult>& results,
                      const std::string& business);

}  // namespace turmeric::ctl
