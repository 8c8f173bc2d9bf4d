#pragma once

#include <QObject>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <unordered_map>
#include <utility>

#include "turmeric/entry/instance_directory.h"
#include "turmeric/entry/stage_client.h"
#include "turmeric/peer/peer_link.h"
#include "turmeric/stages/shard.h"

namespace turmeric::entry {

struct EntryContext;
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
  /** @param context the instance's state. @param local our dispatcher;
   * both must outlive this. */
  StageRouter(EntryContext& context, StageDispatcher& local);
  ~StageRouter() override;

  /** @param addresses the fleet, ourselves included. */
  void SetInstances(const InstanceAddresses& addresses);
  /** An instance has connected to us, or told that it leaves.
   * @param name its name. @param leaving see above. */
  void OnSeen(const std::string& name, bool leaving);
  /** A planned stop: others take over what we own. */
  void Leave();

  /** Told of what comes from other instances for EnginePlacer. */
  struct PlacementEvents {
    std::function<void(std::span<const peer::Placed>)> on_placed;
    std::function<void(std::string_view owner)> on_owner_lost;
  };
  /** @param events see PlacementEvents. */
  void set_placement_events(PlacementEvents events) {
    placement_events_ = std::move(events);
  }
  /** Another instance and the connection to it. */
  struct OwnerLink {
    std::string name;
    peer::PeerLink* link = nullptr;
  };
  /** @param shard a shard or cell. @return its owner; nullopt: ourselves. */
  std::optional<OwnerLink> LinkToOwner(const std::string& shard);
  /** @param name an instance. @return an open connection, or nullptr. */
  peer::PeerLink* LinkTo(const std::string& name);

  uint64_t Submit(const std::string& service, stages::Piece piece,
                  stages::PieceEvents events) override;
  bool Cancel(const std::string& service, uint64_t ticket) override;
  void Release(const std::string& service,
               std::vector<std::string> handles) override;

 private:
  using Clock = stages::Clock;
  struct Pending;
  struct Instance;

  std::string ShardFor(const std::string& service,
                       const stages::ShardWish& wish) const;
  bool MoveToOther(uint64_t ticket);
  Instance* Owner(const std::string& shard);
  peer::PeerLink& LinkTo(Instance& instance);
  void Place(uint64_t ticket);
  void Taken(uint64_t ticket);
  void Done(uint64_t ticket, const stages::PieceResult& result);
  void OnInstanceFrame(const std::string& name, peer::Frame&& frame);
  void OnInstanceLost(const std::string& name, std::string_view why);
  void MoveOn(const std::string& name, bool again_there);

  EntryContext& context_;
  std::string identity_;  ///< Our name and which start of it this is.
  StageDispatcher& local_;
  std::map<std::string, Instance> instances_;  ///< By name, without us.
  std::unordered_map<uint64_t, Pending> pending_;
  PlacementEvents placement_events_;
  uint64_t next_ticket_ = 1;
  bool leaving_ = false;
};

}  // namespace turmeric::entry
