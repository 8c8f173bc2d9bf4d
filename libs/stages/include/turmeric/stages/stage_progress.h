#pragma once

#include <chrono>
#include <span>
#include <string>
#include <vector>

#include "turmeric/routing/route_table.h"
#include "turmeric/stages/piece.h"

namespace turmeric::stages {

class StageTimes;

/** Results of one service. */
struct ServiceResults {
  std::string service;
  std::vector<std::string> handles;
};

/**
 * One request's way through its stages: which are ready to start, what their
 * pieces need, and which results the request itself needs at the end. A
 * stage with no pieces is omitted, and what comes after it takes what it
 * would have taken.
 */
class StageProgress {
 public:
  /**
   * @param specs the route's stages; must outlive this.
   * @param pieces how many pieces each has; missing ones count as 0.
   * @param large_last large results are made as late as the chain beside them
   *     allows.
   */
  StageProgress(std::span<const routing::StageSpec> specs,
                std::span<const int> pieces, bool large_last = true);

  /** @return stages ready to start and not yet started; marks them started. */
  std::vector<int> TakeReady();
  /** @param stage a stage. @return true once its pieces were handed out. */
  bool started(int stage) const {
    return stages_[static_cast<size_t>(stage)].started;
  }
  /** @param stage a stage. @return how many pieces it has. */
  int pieces(int stage) const { return stages_[stage].pieces; }
  /** @param stage a stage. @return handles its pieces need, in order. */
  std::vector<std::string> Inputs(int stage) const;
  /** @param stage a stage. @param index a piece. @param result its result. */
  void Complete(int stage, int index, const PieceResult& result);
  /** A piece's call has taken its inputs. @param stage a stage. */
  void InputsTaken(int stage) { ++stages_[static_cast<size_t>(stage)].taken; }
  /** Begins again from the first stage; results held are forgotten. */
  void Restart();
  /** @param stage a stage. @return true once it has all its results. */
  bool Complete(int stage) const;
  /** @return true once every stage is complete. */
  bool done() const;
  /** @return handles of all results that no other stage takes. */
  std::vector<std::string> FinalInputs() const;
  /**
   * @return results that nothing needs any more and that were not returned
   * before: those of stages whose followers are complete, or have taken
   * them.
   */
  std::vector<ServiceResults> TakeUnneeded();
  /** @return every result held, and forgets them. */
  std::vector<ServiceResults> TakeAll();
  /** @param stage a stage. @return stages that still must follow it. */
  int StagesAfter(int stage) const;
  /** @param stage a stage. @param times how long stages take.
   * @return time that the stages which must follow it take. */
  std::chrono::milliseconds TimeAfter(int stage, const StageTimes& times) const;
  /** @param stage a stage. @return services of the stages that follow it. */
  std::vector<std::string> ServicesAfter(int stage) const;
  /** @return length of the longest chain of stages not complete. */
  int StagesLeft() const;
  /** @param stage a stage. @return where most of the bytes that its pieces
   * need were made; empty if there are few. */
  std::string InputsZone(int stage) const;
  /** @return where most of the bytes that the request needs were made; empty
   * if there are few. */
  std::string FinalInputsZone() const;

 private:
  struct State {
    int pieces = 0;
    int missing = 0;
    int taken = 0;  ///< Pieces whose inputs were taken by their call.
    bool started = false;
    bool released = false;
    std::vector<std::string> handles;
    std::string zone;
  };
  bool NeedsInputs(int stage) const;
  bool HasFollower(int stage) const;
  std::string LargestZone(std::span<const int> stages) const;
  /** The stages with pieces that `stage` takes results of. */
  std::vector<int> Sources(int stage) const;

  std::span<const routing::StageSpec> specs_;
  bool large_last_;
  std::vector<State> stages_;
};

}  // namespace turmeric::stages
