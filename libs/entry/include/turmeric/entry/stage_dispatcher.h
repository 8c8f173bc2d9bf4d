#pragma once

#include <QObject>
#include <QTimer>
#include <map>
#include <memory>
#include <optional>
#include <span>
#include <string>
#include <utility>
#include <vector>

#include "turmeric/entry/result_releaser.h"
#include "turmeric/entry/upstream_client.h"
#include "turmeric/routing/route_table.h"
#include "turmeric/stages/piece_queue.h"

namespace turmeric::entry {

struct EntryContext;
class PieceCall;

/**
 * Makes pieces by calls to the upstreams of the stage services: one queue a
 * shard, a call whenever an upstream is free, as many pieces in it as fit.
 * Holds no more results at an upstream than it has room for.
 */
class StageDispatcher : public QObject {
 public:
  /** @param context the instance's state; must outlive this. */
  explicit StageDispatcher(EntryContext& context);
  ~StageDispatcher() override;

  /**
   * @param shard name of a shard of a stage service. @param piece the piece.
   * @param events told of its progress, never from inside this call.
   * @return a ticket for Cancel.
   */
  uint64_t Submit(const std::string& shard, stages::Piece piece,
                  stages::PieceEvents events);
  /** @param shard as submitted. @param ticket from Submit.
   * @return true if the piece was still waiting; it is dropped. */
  bool Cancel(const std::string& shard, uint64_t ticket);
  /** @param shard the results' shard. @param handles results that nothing
   * needs any more. */
  void Release(const std::string& shard, std::vector<std::string> handles) {
    releases_.Add(shard, std::move(handles));
  }
  /**
   * @return for each shard with a queue here, the calls that wait for each
   *     of its upstreams.
   */
  std::map<std::string, double> Backlogs() const;
  /** @return the same of all shards, as far as their owners have told. */
  std::map<std::string, double> KnownBacklogs() const;

 private:
  struct Worker;
  struct Queue;

  Queue& QueueOf(const std::string& shard);
  std::vector<routing::UpstreamPtr> UpstreamsOf(const Queue& queue) const;
  const routing::StageCallLimits* LimitsOf(const Queue& queue) const;
  Worker& WorkerOf(Queue& queue, const routing::UpstreamPtr& upstream);
  bool CannotBeInTime(const Queue& queue, const stages::Piece& piece) const;
  /** @return why the piece is not even queued; nullopt: it is. */
  std::optional<stages::PieceFailure> RefusedAtOnce(
      const Queue& queue, const stages::Piece& piece) const;
  std::vector<std::string> BackedUp() const;
  void SchedulePump();
  void Pump();
  void PumpQueue(Queue& queue);
  static void FailAll(std::vector<stages::QueuedPiece> pieces,
                      stages::PieceFailure failure);
  void FailHopeless(Queue& queue, const routing::StageCallLimits& limits);
  static std::chrono::milliseconds NextCallTime(
      const Queue& queue, const routing::StageCallLimits& limits);
  void SendCall(Queue& queue, const routing::UpstreamPtr& upstream,
                std::vector<stages::QueuedPiece> pieces,
                const routing::StageCallLimits& limits);
  void OnCallDone(PieceCall& call, std::span<const stages::PieceResult> results,
                  int batch);
  void OnCallFailed(PieceCall& call, routing::Outcome outcome);
  void Deliver(PieceCall& call, std::span<const stages::PieceResult> results);
  /** @param call broke off. */
  void OnCallBroken(PieceCall& call);
  void Retry(const std::string& shard, std::vector<stages::QueuedPiece> pieces,
             bool certainly_not_run);
  void OnInputsTaken(PieceCall& call) const;
  void ForgetHeld(const std::string& shard,
                  const std::vector<std::string>& handles);

  EntryContext& context_;
  std::map<std::string, std::unique_ptr<Queue>> queues_;
  ResultReleases releases_;
  QTimer pump_;
  QTimer retry_pump_;
};

}  // namespace turmeric::entry
