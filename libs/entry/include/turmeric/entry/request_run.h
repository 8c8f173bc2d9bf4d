#pragma once

#include <QObject>
#include <QTimer>
#include <chrono>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "turmeric/entry/caller_answer.h"
#include "turmeric/entry/process_state.h"
#include "turmeric/entry/request_admission.h"
#include "turmeric/entry/request_evidence.h"
#include "turmeric/entry/retry_policy.h"
#include "turmeric/entry/stream_forwarder.h"
#include "turmeric/entry/wire_format.h"
#include "turmeric/http/client_connection.h"
#include "turmeric/memory/charge.h"
#include "turmeric/routing/route_table.h"
#include "turmeric/routing/upstream.h"
#include "turmeric/stages/piece.h"
#include "turmeric/streams/stream_origin.h"

namespace turmeric::entry {

struct EntryContext;
class EnginePlacement;
class SendPermits;
class SharedWork;
class StageRun;
struct UpstreamSendEvents;
struct UpstreamCriteria;
class UpstreamSend;

/**
 * Handles one request from its arrival to its final answer: admission by route
 * and key, stages, the send to an upstream, retries where the route allows
 * them, and the answer. Deletes itself after the final answer or when the
 * caller has disconnected.
 */
class RequestRun : public QObject {
 public:
  using Clock = routing::Clock;

  /**
   * @param context the instance's state; must outlive this.
   * @param connection the caller's connection. @param request the decoded
   * request.
   * @param parent Qt owner.
   */
  RequestRun(EntryContext& context, http::ServerConnection& connection,
             CallerRequest request, QObject* parent);
  ~RequestRun() override;

  /** Admits or refuses the request and starts its stages. */
  void Start();
  /** Limits the stages at the start of a planned stop: pieces that cannot be
   * done in time are refused early. @param last_answers when AnswerBeforeExit
   * will be called. */
  void OnPlannedStop(Clock::time_point last_answers);
  /** Sends the final answer before the process ends, unless a stream has
   * begun. */
  void AnswerBeforeExit();

 private:
  /** @return true if other large requests use up the memory for them. */
  bool FindsNoRoom() const;
  bool Admitted();
  /** @return true if the caller resumes a stream of an earlier attempt. */
  bool ResumesStream() const;
  /** Continues with the service and the version that began the stream.
   * @param origin nullopt: not known. */
  void OnOriginFound(const std::optional<streams::StreamOrigin>& origin);
  /** Starts the stages. @param service service of the upstream. */
  void Begin(std::string service);
  /** Checks whether the configuration in force is the latest of the store, then
   * runs the admission a second time. Called before a refusal that is final. */
  void CheckConfigIsLatest();
  /** Waits until the instance has read the configuration; see StartWaitLimit.
   * @return false if the request must not wait, or has waited. */
  bool WaitForStart();
  void OnStartWaitEnd();
  void StartStages();
  /** @return expected duration of the request's stages. */
  std::chrono::milliseconds StageTime() const;
  void OnStageFailed(const stages::PieceResult& result);
  // Sending to an upstream.
  void SendToUpstream();
  UpstreamCriteria MakeUpstreamCriteria(std::string_view results_zone) const;
  /** Schedules another choice of an upstream if all untried ones have received
   * as many requests as they could serve when cold (shortly after a start).
   * @return false if there is no such upstream or no wait is left. */
  bool WaitForCapacity();
  /** Chooses another upstream, as this instance has no free connection to the
   * chosen one; if none is left, waits for a connection. */
  void OnNoConnection(const routing::Upstream& upstream);
  /** Schedules another choice of an upstream if one would be chosen but for a
   * free connection.
   * @return false if there is no such upstream or no wait is left. */
  bool WaitForConnection();
  /** Sends to the chosen upstream.
   * @param upstream nullptr: none may receive the request.
   * @param permitted true if a permit for an upstream with a rate limit was
   *     obtained. */
  void SendTo(const routing::UpstreamPtr& upstream, bool permitted = false);
  /** Requests a permit for one upstream; without it, another one is chosen. */
  void AcquirePermit(const routing::UpstreamPtr& upstream);
  /** Requests a permit for any upstream with a rate limit.
   * @return false if there is no such upstream, or this request has asked for
   * a permit before. */
  bool AcquireAnyPermit();
  void RefuseWithoutUpstream();
  /** Refuses the request, or lets it wait if it may have run and can no longer
   * be refused. @param rest time until the first upstream may be sent to. */
  void OnAllResting(std::chrono::milliseconds rest);
  void RefuseForRest(std::chrono::milliseconds rest);
  UpstreamCall CallTo(const routing::Upstream& upstream) const;
  void ReleaseInputsOnceFetched();
  UpstreamSendEvents SendEvents();
  void OnEnd();
  /** Finds out whether the upstream has ended, where the end of the answer does
   * not show whether it is whole. */
  void ConfirmAnswerIsWhole();
  /** @param state of the process whose answer ended with its connection. */
  void OnProcessProbed(ProcessState state);
  void OnWholeAnswer();
  /** Retries, or ends the stream as incomplete, after an answer to a later send
   * that is no event stream. */
  void OnStreamNotResumed();
  /** Records the length of a stream that has ended, for later placements. */
  void RecordOutput();
  void OnFailure(http::ExchangeFailure failure);
  void OnNotRun(SendOutcome outcome);
  /** Ends a run that has not brought a whole answer. */
  void OnRunBroken(std::string_view why);
  /** As above, and probes the upstream before a retry. */
  void OnExchangeBroken(std::string_view why);
  /** Retries or fails after the probe has shown whether the upstream has
   * ended. */
  void AfterCrashProbe(std::string_view why);
  /**
   * Answers the request if it is quarantined because upstreams crashed while
   * running it.
   * @return true if it is quarantined.
   */
  bool AnswerIfQuarantined();
  /** Refuses the request if its organisation is above its share of the service.
   * @return true if it is refused. */
  bool RefuseIfOverShare();
  /** Decides on a retry and spends its credit.
   * @return true if the request may be retried. */
  bool MayRetry(SendOutcome outcome);
  void Retry();
  void OnStreamBytes(std::string_view bytes);
  /** Forwards a part of a large answer before its end. */
  void OnForwardedBytes(std::string_view bytes);
  /** Records the version that has begun the stream, before its first event is
   * sent. */
  void RecordOrigin();
  void ForwardHead();
  // The final answer.
  void ForwardAnswer();
  /** Answers a request that has not run, with a Retry-After delay. */
  void Refuse(std::string_view why, RetryAfter when);
  void Refuse(std::string_view why, std::chrono::milliseconds retry_after);
  /** Answers without a Retry-After delay, or aborts a stream. */
  void Fail(int status, std::string_view why);
  void OnTimeLimit();
  /** @return true if the request may have run, so that the answer must not say
   * "not run". */
  bool MayHaveRun() const;
  void OnCallerDisconnected();
  void Finish(int status, std::string_view outcome);
  /** @return the phase that the request has reached, for the log. */
  std::string_view Phase() const;
  void LogEnd(int status, std::string_view outcome, double ms) const;
  std::chrono::milliseconds TimeLeft() const;
  std::chrono::milliseconds PromptReadTime() const;
  double MsSinceArrival() const;

  EntryContext& context_;
  CallerAnswer answer_;
  CallerRequest request_;
  routing::RouteTablePtr table_;  ///< Keeps `route_` alive.
  const routing::Route* route_ = nullptr;
  Admission admission_;
  /** Whether the configuration in force is the latest of the store; nullopt:
   * not checked, because no final refusal depended on it. */
  std::optional<bool> config_is_latest_;
  /** Ticket of the wait for the first configuration, see StartWaiters; 0: the
   * wait has ended; nullopt: it has not begun. */
  std::optional<uint64_t> start_wait_;
  memory::Charge request_charge_;  ///< Of the request and `last_error_`.
  RequestEvidence evidence_;
  std::string service_;
  /** Software version that began the stream; empty: none has yet. */
  std::string stream_version_;
  bool origin_recorded_ = false;
  Clock::time_point arrived_;
  /** Time that the caller spent on earlier attempts. */
  std::chrono::milliseconds time_used_{0};
  QTimer limit_timer_;

  std::unique_ptr<StageRun> stages_;

  /** Set while an engine is being chosen; then moved to the send. */
  std::unique_ptr<EnginePlacement> placement_;
  /** The last send; null before the first. */
  std::unique_ptr<UpstreamSend> send_;
  std::vector<std::string> tried_upstreams_;
  /** Those that must not be chosen: tried, or without a permit. */
  std::vector<std::string> excluded_upstreams_;
  std::unique_ptr<SendPermits> permits_;
  /** Work in progress at a service whose capacity is shared; else null. */
  std::unique_ptr<SharedWork> shared_work_;
  /** Stream events forwarded by earlier sends. */
  int64_t events_before_send_ = 0;
  int sends_ = 0;
  int cold_waits_ = 0;
  int connection_waits_ = 0;
  int unreached_sends_ = 0;  ///< Those of `sends_` that no upstream received.
  bool may_have_run_ = false;
  /** Bytes of the answer were forwarded since the last check. */
  bool forwards_ = false;
  /** Error answer of an upstream after which the request was retried. */
  std::optional<http::ResponseMessage> last_error_;

  // Times since arrival for the log; -1: not reached.
  int64_t stages_done_ms_ = -1;
  int64_t first_byte_ms_ = -1;

  StreamForwarder forwarder_;
  bool finished_ = false;
};

}  // namespace turmeric::entry
