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
 * Brings the pieces of all instances together: each shard of a stage service
 * has one owner among the live instances (rendezvous hashing), whose dispatcher
 * fills the calls. Instances may disagree on who that is: a piece may be
 * made again, so that costs only full calls. Without the owner, pieces are
 * dispatched by the next in order, at last here.
 */
class StageRouter : public QObject, public StageClient {
 public:
  /** @param context the instance's state. @param links to the other
   * instances. @param local our dispatcher; all must outlive this. */
  StageRouter(EntryContext& context, InstanceLinks& links,
              StageDispatcher& local);
  ~StageRouter() override;

  /** @param frame what an instance that owns shards says of them. */
  void OnFrame(const peer::Frame& frame);
  /** Our connection to an instance has ended. @param name who.
   * @param again_there see InstanceLinks. */
  void OnLost(const std::string& name, bool again_there);

  uint64_t Submit(const std::string& service, stages::Piece piece,
                  stages::PieceEvents events) override;
  bool TakeRepeats(const std::string& service, const std::string& request,
                   int pieces) override;
  bool Cancel(const std::string& service, uint64_t ticket) override;
  void Release(const std::string& service,
               std::vector<std::string> handles) override;

 private:
  using Clock = stages::Clock;
  struct Pending;

  std::string ShardFor(const std::string& service,
                       const stages::ShardPreference& wish) const;
  bool MoveToOther(uint64_t ticket);
  void Place(uint64_t ticket);
  void Taken(uint64_t ticket);
  void Done(uint64_t ticket, const stages::PieceResult& result);

  EntryContext& context_;
  InstanceLinks& links_;
  StageDispatcher& local_;
  std::unordered_map<uint64_t, Pending> pending_;
  uint64_t next_ticket_ = 1;
};

}  // namespace turmeric::entry
