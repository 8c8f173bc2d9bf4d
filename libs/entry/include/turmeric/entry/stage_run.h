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

/** What a request's stages are planned by; outlives the StageRun. */
struct StagePlan {
  const CallerRequest& request;
  const routing::Route& route;
  std::string work;  ///< The request's fingerprint.
  int rank = 0;
  stages::Clock::time_point due;    ///< The answer, for the latency target.
  stages::Clock::time_point limit;  ///< The answer's first byte, at the latest.
  std::chrono::milliseconds engine_time{0};  ///< Estimate, after the stages.
  stages::StageTimes& times;  ///< How long stages take; learns from this run.
  const config::Mechanisms& mechanisms;
};

/** Told how the stages go; at most one call is open at a time. */
struct StageRunEvents {
  /** All are done; the results are StageRun::inputs(). */
  std::function<void()> on_ready;
  /** A piece could not be made, and the stages cannot be done again. */
  std::function<void(stages::PieceFailure)> on_failed;
  /** @return the zone of the engine that will read the results. */
  std::function<std::string()> home_zone;
  /** @return the upstream of the service that holds the result, or nullptr. */
  std::function<routing::UpstreamPtr(const std::string& service,
                                     const std::string& handle)>
      maker;
};

/**
 * One request's stages: hands out the pieces of each stage as it becomes
 * ready, gives results up when nothing needs them, and does all stages again
 * when a result was lost.
 */
class StageRun : public QObject {
 public:
  /** @param client makes the pieces; must outlive this. @param plan see
   * StagePlan. @param events see StageRunEvents. */
  StageRun(StageClient& client, StagePlan plan, StageRunEvents events);
  ~StageRun() override;

  /** @return true if the request has no stage work (left). */
  bool done() const { return progress_.done(); }
  /** Begins. */
  void Start();
  /**
   * Does all stages again, if their number of times and the time left allow.
   * @param why for the log.
   * @return false if not; nothing has happened then.
   */
  bool Restart(std::string_view why);
  /** Pieces handed out from now on keep to this limit, if it is earlier.
   * @param limit the answer's first byte, at the latest. */
  void LimitTo(stages::Clock::time_point limit) {
    plan_.limit = std::min(plan_.limit, limit);
  }
  /** Drops pieces not yet made and gives all results up. */
  void Stop();
  /** Gives all results up: the upstream has fetched them. */
  void ReleaseAll();
  /** @return handles of the results that the request needs. */
  const std::vector<std::string>& inputs() const { return inputs_; }
  /** @return true if a maker of these has started again since. */
  bool inputs_lost() const { return AnyLost(inputs_); }
  /** @return true once these were given up. */
  bool inputs_released() const { return inputs_released_; }
  /** @return where most of their bytes lie; empty if they are few. */
  std::string inputs_zone() const { return progress_.FinalInputsZone(); }

 private:
  struct OpenPiece {
    std::string service;
    uint64_t ticket = 0;
  };

  /** @return true if the retry budget has room for all pieces that were handed
   * out; it is taken then. */
  bool TakeRepeats();
  void SubmitReady();
  void SubmitStage(int stage);
  stages::PieceEvents EventsFor(int stage, int index);
  std::string ZoneFor(int stage) const;
  void NoteStageTime(int stage);
  void OnPiece(int stage, int index, const stages::PieceResult& result);
  bool AnyLost(std::span<const std::string> handles) const;
  void MakerRestarted();
  void CancelPieces();
  void Release(std::vector<stages::ServiceResults> results);

  StageClient& client_;
  StagePlan plan_;
  StageRunEvents events_;
  stages::StageProgress progress_;
  std::vector<OpenPiece> open_pieces_;
  /** When a stage's pieces were handed over, and whether the request could
   * then still be in time. */
  struct HandOver {
    stages::Clock::time_point at;
    bool could_be_in_time = false;
  };
  std::map<int, HandOver> handed_over_;  ///< By stage, until it is complete.
  /** Who made each result held, by handle. */
  std::unordered_map<std::string, routing::UpstreamPtr> makers_;
  std::vector<std::string> inputs_;
  bool inputs_released_ = false;
  bool stopped_ = false;
  std::set<int> begun_before_;  ///< Stages, in earlier rounds.
  int restarts_ = 0;
  uint64_t round_ = 0;  ///< Tells late pieces of an earlier round.
};

}  // namespace turmeric::entry
