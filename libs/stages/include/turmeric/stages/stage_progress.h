#pragma once

#include <chrono>
#include <span>
#include <string>
#include <vector>

#include "turmeric/routing/route_table.h"
#include "turmeric/stages/piece.h"

namespace turmeric::stages {

class StageTimes;

/** Handles of results that upstreams of one service hold. */
struct ServiceResults {
  std::string service;
  std::vector<std::string> handles;
};

/**
 * Tracks one request's stages: which are ready to start, the inputs of their
 * pieces, and the results that the request itself needs at the end. A stage
 * without pieces is skipped: the stages after it use its inputs instead of its
 * results.
 */
class StageProgress {
 public:
  /**
   * @param specs the route's stages, none of which needs its own results
   *     through others; must outlive this object.
   * @param pieces number of pieces of each stage; missing values count as 0.
   * @param large_last true: a stage with large results starts as late as the
   *     longest parallel chain of stages allows.
   */
  StageProgress(std::span<const routing::StageSpec> specs,
                std::span<const int> pieces, bool large_last = true);

  /** @return stages ready to start and not yet started; marks them started. */
  std::vector<int> TakeReady();
  /** @param stage a stage. @return true once TakeReady has returned it. */
  bool started(int stage) const {
    return stages_[static_cast<size_t>(stage)].started;
  }
  /** @param stage a stage. @return its number of pieces. */
  int pieces(int stage) const { return stages_[stage].pieces; }
  /** @param stage a stage. @return handles of its pieces' inputs, in order. */
  std::vector<std::string> Inputs(int stage) const;
  /** Records the result of a piece. A second result of the same piece is
   * ignored. @param stage a stage. @param index of the piece within the stage.
   * @param result of the piece. */
  void Complete(int stage, int index, const PieceResult& result);
  /** Records that a call has fetched the inputs of a piece. @param stage of the
   * piece. */
  void InputsFetched(int stage) {
    ++stages_[static_cast<size_t>(stage)].inputs_fetched;
  }
  /** Starts again from the first stage, without any results. */
  void Restart();
  /** @param stage a stage. @return true once it has all results. */
  bool IsComplete(int stage) const;
  /** @return true once every stage is complete. */
  bool done() const;
  /** @return handles of all results that no other stage uses. */
  std::vector<std::string> FinalInputs() const;
  /**
   * @return results that are no longer needed and were not returned before:
   *     those of stages whose successors are complete or have fetched them.
   */
  std::vector<ServiceResults> TakeUnneeded();
  /** @return the results available so far, except those of stages that an
   * earlier TakeUnneeded or TakeAll has marked as released. Marks all stages as
   * released: results recorded later are not returned until Restart. */
  std::vector<ServiceResults> TakeAll();
  /** @param stage a stage. @return length of the longest chain after it. */
  int StagesAfter(int stage) const;
  /** @param stage a stage. @param times estimated durations of stages.
   * @return estimated duration of the longest chain after it. */
  std::chrono::milliseconds TimeAfter(int stage, const StageTimes& times) const;
  /** @param stage a stage. @return services of all stages that use the
   * results of the stage, directly or through other stages; a service occurs
   * once for each of its stages. */
  std::vector<std::string> ServicesAfter(int stage) const;
  /** @return length of the longest chain of incomplete stages. */
  int StagesLeft() const;
  /** @param stage a stage. @return zone of the stage with the largest results
   * among the inputs of `stage`; empty if the results of each input stage are
   * too small to determine a zone. */
  std::string InputsZone(int stage) const;
  /** @return zone of the stage with the largest results among the stages whose
   * results no other stage uses; empty if the results of each of these stages
   * are too small to determine a zone. */
  std::string FinalInputsZone() const;

 private:
  struct State {
    int pieces = 0;
    int missing = 0;
    int inputs_fetched = 0;  ///< Pieces whose inputs a call has fetched.
    bool started = false;
    bool released = false;
    std::vector<std::string> handles;
    std::string zone;
  };
  bool NeedsInputs(int stage) const;
  bool HasSuccessor(int stage) const;
  std::string LargestZone(std::span<const int> stages) const;
  /** @return the stages with pieces whose results `stage` uses. */
  const std::vector<int>& Sources(int stage) const {
    return sources_[static_cast<size_t>(stage)];
  }
  /** @return the stages with pieces that use the results of `stage`. */
  const std::vector<int>& Users(int stage) const {
    return users_[static_cast<size_t>(stage)];
  }
  void DetermineOrder();
  void DetermineSources();
  void DetermineStagesAfter();

  std::span<const routing::StageSpec> specs_;
  bool large_last_;
  std::vector<State> stages_;
  // Determined once, as finding them by recursion for each call takes a time
  // that doubles with each stage.
  std::vector<int> order_;  ///< Each stage is after those it needs.
  std::vector<std::vector<int>> sources_;  ///< By stage, ascending.
  std::vector<std::vector<int>> users_;    ///< By stage, ascending.
  std::vector<int> stages_after_;          ///< By stage.
};

}  // namespace turmeric::stages
