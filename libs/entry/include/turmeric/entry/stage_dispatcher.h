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
 * Runs pieces by calls to the upstreams of the stage services. Keeps one queue
 * per shard and sends a call whenever an upstream has a free slot, with as many
 * pieces as fit into the batch. Limits the results held by each upstream to its
 * memory for results.
 */
class StageDispatcher : public QObject {
 public:
  /** @param context the instance's state; must outlive this. */
  explicit StageDispatcher(EntryContext& context);
  ~StageDispatcher() override;

  /**
   * @param shard name of a shard of a stage service.
   * @param piece the piece.
   * @param events called with its progress, never from inside this call.
   * @return a ticket for Cancel.
   */
  uint64_t Submit(const std::string& shard, stages::Piece piece,
                  stages::PieceEvents events);
  /**
   * @param shard as submitted.
   * @param ticket from Submit.
   * @return true if the piece was still queued; it is removed then.
   */
  bool Cancel(const std::string& shard, uint64_t ticket);
  /**
   * @param shard the shard of the upstreams that made the results.
   * @param handles results that are no longer needed.
   */
  void Release(const std::string& shard, std::vector<std::string> handles) {
    releaser_.Add(shard, std::move(handles));
  }
  /**
   * @return number of calls waiting for each upstream, by shard, for the shards
   *     that this instance has a queue for.
   */
  std::map<std::string, double> Backlogs() const;
  /**
   * @return number of calls waiting for each upstream, by shard, for all
   *     shards, including fresh reports of the instances that own the other
   *     shards.
   */
  std::map<std::string, double> KnownBacklogs() const;

 private:
  struct Worker;
  struct Queue;

  Queue& QueueOf(const std::string& shard);
  std::vector<routing::UpstreamPtr> UpstreamsOf(const Queue& queue) const;
  const routing::StageCallLimits* LimitsOf(const Queue& queue) const;
  Worker& WorkerOf(Queue& queue, const routing::UpstreamPtr& upstream);
  bool CannotMeetDeadline(const Queue& queue, const stages::Piece& piece) const;
  /** @return why the piece must not be queued; nullopt: it may. */
  std::optional<stages::PieceFailure> RefusalReason(
      const Queue& queue, const stages::Piece& piece) const;
  std::vector<std::string> BackedUpShards() const;
  void ScheduleDispatch();
  void DispatchAll();
  void DispatchQueue(Queue& queue);
  static void FailAll(std::vector<stages::QueuedPiece> pieces,
                      const stages::PieceResult& failure);
  /** @return the failure of all pieces of a queue if none of its upstreams may
   * be called now; nullopt: one may. */
  std::optional<stages::PieceResult> NoUpstreamFailure(
      const Queue& queue, routing::Clock::time_point now) const;
  void FailLatePieces(Queue& queue, const routing::StageCallLimits& limits);
  static std::chrono::milliseconds NextCallDuration(
      const Queue& queue, const routing::StageCallLimits& limits);
  void SendCall(Queue& queue, const routing::UpstreamPtr& upstream,
                std::vector<stages::QueuedPiece> pieces,
                const routing::StageCallLimits& limits);
  void OnCallDone(PieceCall& call, std::span<const stages::PieceResult> results,
                  int batch);
  /** Gives the slot of an overdue call to another one. */
  void OnCallOverdue(PieceCall& call);
  void OnCallFailed(PieceCall& call, routing::Outcome outcome);
  void Deliver(PieceCall& call, std::span<const stages::PieceResult> results);
  /**
   * @param call a call whose connection broke or whose response was malformed.
   */
  void OnCallBroken(PieceCall& call);
  void Retry(const std::string& shard, std::vector<stages::QueuedPiece> pieces,
             bool known_not_run);
  void OnInputsFetched(PieceCall& call) const;
  void OnReleased(const std::string& shard,
                  const std::vector<std::string>& handles);

  EntryContext& context_;
  std::map<std::string, std::unique_ptr<Queue>> queues_;
  ResultReleaser releaser_;
  QTimer dispatch_timer_;
  QTimer retry_timer_;
};

}  // namespace turmeric::entry
