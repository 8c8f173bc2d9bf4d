#pragma once

#include <QObject>
#include <string>
#include <unordered_map>
#include <utility>

#include "turmeric/entry/stage_client.h"
#include "turmeric/peer/frame.h"
#include "turmeric/stages/shard.h"

namespace turmeric::entry {

struct EntryContext;
class InstanceLinks;
class StageDispatcher;

/**
 * Routes the pieces of stages to the owners of their shards. A shard is a part
 * of a stage service's upstreams; it has one owner among the reachable
 * instances by rendezvous hashing, whose dispatcher batches the pieces of all
 * instances into full calls.
 * Instances may disagree about the owner for a while. The only effect is that
 * calls are less full, because a piece may safely run more than once. If the
 * owner is unreachable, the next instance in rendezvous order dispatches the
 * pieces; if no other instance is reachable, this instance does.
 */
class StageRouter : public QObject, public StageClient {
 public:
  /**
   * The referenced objects must outlive this.
   * @param context the instance's state.
   * @param links connections to the other instances.
   * @param local dispatcher of this instance.
   */
  StageRouter(EntryContext& context, InstanceLinks& links,
              StageDispatcher& local);
  ~StageRouter() override;

  /** @param frame a frame from an instance that owns shards. */
  void OnFrame(const peer::Frame& frame);
  /**
   * Called when the connection to an instance has ended.
   * @param name name of the instance.
   * @param was_reset true if only the connection was reset, which leaves the
   *     pieces queued at the instance; see InstanceLinks::Events.
   */
  void OnInstanceLost(const std::string& name, bool was_reset);

  uint64_t Submit(const std::string& service, stages::Piece piece,
                  stages::PieceEvents events) override;
  bool TakeRetryCredit(const std::string& service, const std::string& request,
                       int pieces) override;
  bool Cancel(const std::string& service, uint64_t ticket) override;
  void Release(const std::string& service,
               std::vector<std::string> handles) override;

 private:
  using Clock = stages::Clock;
  struct Pending;

  std::string ShardFor(const std::string& service,
                       const stages::ShardPreference& wish,
                       std::string_view resting_shard = {}) const;
  bool MoveToOtherShard(uint64_t ticket, stages::PieceFailure failure);
  void Dispatch(uint64_t ticket);
  void OnInputsFetched(uint64_t ticket);
  void OnDone(uint64_t ticket, const stages::PieceResult& result);

  EntryContext& context_;
  InstanceLinks& links_;
  StageDispatcher& local_;
  std::unordered_map<uint64_t, Pending> pending_;
  uint64_t next_ticket_ = 1;
};

}  // namespace turmeric::entry
