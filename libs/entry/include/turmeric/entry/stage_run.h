#pragma once

#include <QObject>
#include <algorithm>
#include <cstdint>
#include <functional>
#include <map>
#include <set>
#include <span>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "turmeric/config/mechanisms.h"
#include "turmeric/routing/route_table.h"
#include "turmeric/routing/upstream.h"
#include "turmeric/stages/piece_queue.h"
#include "turmeric/stages/stage_progress.h"
#include "turmeric/stages/stage_times.h"

namespace turmeric::entry {

class StageClient;
struct CallerRequest;

/**
 * Parameters of a StageRun. The referenced objects must outlive the StageRun.
 */
struct StagePlan {
  const CallerRequest& request;
  const routing::Route& route;
  std::string fingerprint;  ///< Fingerprint of the request.
  int rank = 0;             ///< Urgency class of the pieces, 0 first.
  /** Time at which the response is due according to the latency target. */
  stages::Clock::time_point due;
  /** Latest time of the response's first byte. */
  stages::Clock::time_point deadline;
  /** Estimated time from the end of the stages to the response. */
  std::chrono::milliseconds engine_time{0};
  /** Moving averages of stage durations; updated by the run. */
  stages::StageTimes& times;
  const config::Mechanisms& mechanisms;
};

/** Callbacks of a StageRun; at most one of them runs at a time. */
struct StageRunEvents {
  /**
   * Called when all stages are complete; the results are StageRun::inputs().
   */
  std::function<void()> on_ready;
  /** Called with the result of a piece that has failed, if the stages cannot be
   * restarted. */
  std::function<void(const stages::PieceResult&)> on_failed;
  /** @return the zone of the engine that is expected to read the results. */
  std::function<std::string()> engine_zone;
  /** @return the upstream that made the result and holds it, or nullptr. */
  std::function<routing::UpstreamPtr(const std::string& service,
                                     const std::string& handle)>
      find_producer;
};

/**
 * Runs the stages of one request: submits the pieces of each stage as soon as
 * its inputs are complete, releases results that are no longer needed, and
 * restarts all stages when a result was lost.
 */
class StageRun : public QObject {
 public:
  /**
   * @param client runs the pieces; must outlive this.
   * @param plan see StagePlan.
   * @param events see StageRunEvents.
   */
  StageRun(StageClient& client, StagePlan plan, StageRunEvents events);
  ~StageRun() override;

  /** @return true if the request has no stages left to run. */
  bool done() const { return progress_.done(); }
  /** Submits the pieces of the first stages. */
  void Start();
  /**
   * Restarts all stages, if the number of restarts, the remaining time and the
   * retry budget allow it.
   * @param why reason for the log.
   * @return false if the stages were not restarted; nothing has changed then.
   */
  bool Restart(std::string_view why);
  /**
   * Applies an earlier deadline to pieces submitted from now on; a later one
   * has no effect.
   * @param deadline latest time of the response's first byte.
   */
  void LimitDeadline(stages::Clock::time_point deadline) {
    plan_.deadline = std::min(plan_.deadline, deadline);
  }
  /** Cancels open pieces and releases all results. */
  void Stop();
  /**
   * Releases all results, for example because the upstream has fetched them.
   */
  void ReleaseAll();
  /** @return handles of the stage results that the request needs. */
  const std::vector<std::string>& inputs() const { return inputs_; }
  /**
   * @return true if a process that made one of the inputs has restarted since.
   */
  bool inputs_lost() const { return AnyLost(inputs_); }
  /** @return true once the inputs were released. */
  bool inputs_released() const { return inputs_released_; }
  /**
   * @return the zone that holds most bytes of the inputs; empty if these are
   *     few.
   */
  std::string inputs_zone() const { return progress_.FinalInputsZone(); }

 private:
  struct OpenPiece {
    std::string service;
    uint64_t ticket = 0;
  };

  /**
   * Takes retry credit for all pieces of the stages submitted so far.
   * @return true if the retry budget sufficed.
   */
  bool TakeRetryCredit();
  void SubmitReady();
  void SubmitStage(int stage);
  stages::PieceEvents EventsFor(int stage, int index);
  std::string ZoneFor(int stage) const;
  void RecordStageTime(int stage);
  void OnPiece(int stage, int index, const stages::PieceResult& result);
  bool AnyLost(std::span<const std::string> handles) const;
  void OnProducerRestarted();
  void CancelPieces();
  void Release(std::vector<stages::ServiceResults> results);

  StageClient& client_;
  StagePlan plan_;
  StageRunEvents events_;
  stages::StageProgress progress_;
  std::vector<OpenPiece> open_pieces_;
  /**
   * When the pieces of a stage were submitted, and whether the request could
   * still meet its latency target then.
   */
  struct Submission {
    stages::Clock::time_point at;
    bool could_meet_target = false;
  };
  std::map<int, Submission> submissions_;  ///< By stage, until it is complete.
  /** Upstream that made each result held, by handle. */
  std::unordered_map<std::string, routing::UpstreamPtr> producers_;
  std::vector<std::string> inputs_;
  bool inputs_released_ = false;
  bool stopped_ = false;
  /** Stages whose pieces were submitted in an earlier round. */
  std::set<int> restarted_stages_;
  int restarts_ = 0;
  /** Incremented by each restart; identifies results of earlier rounds. */
  uint64_t round_ = 0;
};

}  // namespace turmeric::entry
