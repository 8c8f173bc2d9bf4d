#pragma once

#include <QObject>
#include <QPointer>
#include <functional>
#include <string>

#include "turmeric/config/resolved_settings.h"
#include "turmeric/gateway/upstream_pool.h"
#include "turmeric/utils/trace.h"

class QNetworkAccessManager;
class QNetworkReply;

namespace turmeric::gateway {

/** One call to one upstream, as the executor orders it. */
struct StageCallSpec {
  std::string call_id;  ///< Unique per call; the answer must echo it.
  config::StageSpec stage;
  UpstreamRef upstream;
  std::string input;
  int max_tokens = 16;
  bool stream = false;          ///< Take tokens as they come (engines).
  int resume_from = 0;          ///< Stream: first token index still wanted.
  std::string idempotency_key;  ///< Empty for idempotent stages.
  utils::TraceContext trace;    ///< This hop's span.
};

/** How a call ended. */
struct StageOutcome {
  CallReport report;
  int status = 0;      ///< HTTP status, 0 if none came.
  std::string output;  ///< With kOk and no stream: the stage's result.
  int tokens = 0;      ///< Tokens the engine generated in this call.
  std::string error;   ///< What went wrong, for the operator.
};

/**
 * One HTTP call to one upstream: sends it once, checks that the answer is
 * whole and its own, and reports the end exactly once, unless cancelled.
 */
class StageCall : public QObject {
 public:
  using OnToken = std::function<void(const std::string& token)>;
  using OnDone = std::function<void(StageCall*, const StageOutcome&)>;

  /**
   * @param spec the call.
   * @param on_token per token, in index order without gap or repeat.
   * @param on_done called once, from the event loop.
   */
  StageCall(StageCallSpec spec, OnToken on_token, OnDone on_done);
  /** @param network the manager to send through. */
  void Send(QNetworkAccessManager& network);
  /** Gives the call up; on_done is not called. @return what it cost. */
  StageOutcome Cancel();
  /** @return the call as ordered. */
  const StageCallSpec& spec() const { return spec_; }
  /** @return when it was sent, Unix µs. */
  int64_t start_us() const { return start_us_; }

 private:
  void ReadStream();
  void OnFinished();
  CallResult Judge(StageOutcome& outcome);
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
  bool foreign_id_ = false;
  Clock::time_point sent_at_;
  int64_t start_us_ = 0;
};

}  // namespace turmeric::gateway
