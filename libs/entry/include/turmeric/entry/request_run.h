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
#include "turmeric/entry/request_admission.h"
#include "turmeric/entry/retry_policy.h"
#include "turmeric/entry/stream_forwarder.h"
#include "turmeric/entry/wire_format.h"
#include "turmeric/http/client_connection.h"
#include "turmeric/routing/route_table.h"
#include "turmeric/routing/upstream.h"
#include "turmeric/stages/piece.h"

namespace turmeric::entry {

struct EntryContext;
class EnginePlacement;
class StageRun;
struct UpstreamSendEvents;
struct UpstreamCriteria;
class UpstreamSend;

/**
 * One request from its arrival to its final answer: route and key, stages,
 * the send to an upstream, repeats where the route allows them, and the
 * answer. Deletes itself when the answer is out or the caller has gone.
 */
class RequestRun : public QObject {
 public:
  using Clock = routing::Clock;

  /**
   * @param context the instance's state; must outlive this.
   * @param connection the caller's. @param request what it sent.
   * @param parent Qt owner.
   */
  RequestRun(EntryContext& context, http::ServerConnection& connection,
             CallerRequest request, QObject* parent);
  ~RequestRun() override;

  /** Decides what to do with the request, and begins. */
  void Start();
  /** A planned stop begins: stages that cannot be done by then are refused
   * early. @param last_answers when EndBeforeExit follows. */
  void OnStopBegins(Clock::time_point last_answers);
  /** Gives the final answer, unless a stream has begun: the process ends. */
  void EndBeforeExit();

 private:
  bool Admitted();
  /** Finds out whether a refusal that is final by the configuration in force is
   * so by the store's latest, and decides anew. */
  void CheckConfig();
  void StartStages();
  void OnStageFailed(stages::PieceFailure failure);
  // One send.
  void SendToUpstream();
  UpstreamCriteria Wanted(std::string_view results_zone) const;
  /** @return true if all that are left have as much as they would bear if they
   * were cold, and one is looked for again soon. */
  bool WaitsForRoom();
  void SendTo(const routing::UpstreamPtr& upstream);
  int ConnectionLimit() const;
  UpstreamCall CallTo(const routing::Upstream& upstream) const;
  void ReleaseInputsOnceFetched();
  UpstreamSendEvents SendEvents();
  void OnEnd();
  void OnFailure(http::ExchangeFailure failure);
  void OnNotRun(SendEnd end);
  void OnBroken(std::string_view why);
  /** It is known whether the upstream that broke off has ended. */
  void AfterBroken(std::string_view why);
  /** Answers a request that ends upstreams. @return true if it is one. */
  bool RefusedAsHarmful();
  bool MaySendAgain(SendEnd end);
  void SendAgain();
  void OnStreamBytes(std::string_view bytes);
  void PassHead();
  // The final answer.
  void PassAnswer();
  void Refuse(std::string_view why, ComeBack when);
  void Refuse(std::string_view why, std::chrono::milliseconds come_back);
  void Fail(int status, std::string_view why);
  void OnTimeLimit();
  /** @return true if its caller can't be told that it has not run. */
  bool SentOrRun() const;
  void OnCallerGone();
  void Finish(int status, std::string_view outcome);
  /** @return how far the request has come, for the log. */
  std::string_view Phase() const;
  void LogEnd(int status, std::string_view outcome, double ms) const;
  std::chrono::milliseconds TimeLeft() const;
  std::chrono::milliseconds PromptTime() const;
  double MsSinceArrival() const;

  EntryContext& context_;
  CallerAnswer answer_;
  CallerRequest request_;
  routing::RouteTablePtr table_;  ///< Keeps `route_` alive.
  const routing::Route* route_ = nullptr;
  Admission admission_;
  /** Whether the configuration decided by is the store's latest; none: not
   * asked, as nothing depended on it. */
  std::optional<bool> by_latest_config_;
  std::string work_;  ///< What all copies of the request have in common.
  std::string service_;
  Clock::time_point arrived_;
  /** What the caller used of its time in earlier attempts. */
  std::chrono::milliseconds time_used_{0};
  QTimer limit_timer_;

  std::unique_ptr<StageRun> stages_;

  /** While an engine is looked for; the send holds it then. */
  std::unique_ptr<EnginePlacement> placement_;
  std::unique_ptr<UpstreamSend> send_;  ///< The last; null before the first.
  std::vector<std::string> tried_;
  int64_t events_before_send_ = 0;  ///< Of its stream, from earlier sends.
  int sends_ = 0;
  int cold_waits_ = 0;
  int unreached_ = 0;  ///< Of these, sends that no upstream received.
  bool may_have_run_ = false;
  std::optional<http::ResponseMessage> last_error_;  ///< An upstream's own.

  // For the log; -1: not reached.
  int64_t stages_done_ms_ = -1;
  int64_t first_byte_ms_ = -1;

  StreamForwarder relay_;
  bool finished_ = false;
};

}  // namespace turmeric::entry
