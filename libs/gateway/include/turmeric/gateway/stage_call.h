#pragma once

#include <QObject>
#include <QPointer>
#include <functional>
#include <string>
#include <string_view>

#include "turmeric/config/resolved_settings.h"
#include "turmeric/gateway/upstream_pool.h"
#include "turmeric/utils/trace.h"

class QNetworkAccessManager;
class QNetworkReply;

namespace turmeric::gateway {

/** Parameters of one call to one upstream. */
struct StageCallSpec {
  std::string call_id;  ///< Unique per call; the upstream must echo it.
  config::StageSpec stage;
  UpstreamRef upstream;
  int max_tokens = 16;
  bool stream = false;  ///< Forward tokens as they arrive (engines only).
  int resume_from = 0;  ///< Streams: index of the first token still missing.
  std::string idempotency_key;  ///< Empty for idempotent stages.
  utils::TraceContext trace;    ///< Span of this call.
};

/** Outcome of a call. */
struct StageOutcome {
  CallReport report;
  int status = 0;      ///< HTTP status, 0 if no response was received.
  std::string output;  ///< With kOk and no stream: the output of the stage.
  int tokens = 0;      ///< Tokens the engine generated in this call.
  std::string error;   ///< Description of the error, for operators.
};

/**
 * One HTTP call to one upstream. It is sent once; the answer is checked for
 * completeness and for this call's id, and the outcome is reported exactly once
 * unless the call is cancelled.
 */
class StageCall : public QObject {
 public:
  using OnToken = std::function<void(const std::string& token)>;
  using OnDone = std::function<void(StageCall*, StageOutcome&&)>;

  /**
   * @param spec parameters of the call.
   * @param on_token called per token, in index order without gaps or
   *     duplicates.
   * @param on_done called once, from the event loop.
   */
  StageCall(StageCallSpec spec, OnToken on_token, OnDone on_done);
  /**
   * @param network network manager that sends the call.
   * @param input UTF-8 text that the stage processes; it is sent as a copy.
   */
  void Send(QNetworkAccessManager& network, std::string_view input);
  /**
   * Aborts the call; on_done is not called.
   * @return the outcome for cost accounting: elapsed time and tokens generated.
   */
  StageOutcome Cancel();
  /** @return the parameters of the call. */
  const StageCallSpec& spec() const { return spec_; }
  /** @return send time as Unix time in µs. */
  int64_t start_us() const { return start_us_; }

 private:
  void ReadStream();
  void OnFinished();
  CallResult ClassifyReply(StageOutcome& outcome);
  double ElapsedMs() const;

  StageCallSpec spec_;
  OnToken on_token_;
  OnDone on_done_;
  QPointer<QNetworkReply> reply_;
  QByteArray sse_buffer_;
  int next_token_ = 0;
  int tokens_ = 0;
  bool stream_done_ = false;
  bool stream_gap_ = false;
  bool foreign_call_id_ = false;
  Clock::time_point sent_at_;
  int64_t start_us_ = 0;
};

}  // namespace turmeric::gateway
