#pragma once

#include <QObject>
#include <QTimer>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <unordered_map>

#include "turmeric/entry/instance_links.h"
#include "turmeric/http/listener.h"
#include "turmeric/peer/peer_link.h"

namespace turmeric::entry {

class PlacementCoordinator;
class StageDispatcher;
class RevisionGossip;

/**
 * Accepts the connections of the other instances and processes their frames:
 * passes their pieces to the dispatcher of this instance, places their requests
 * on engines, and exchanges the latest revisions of the store.
 * An instance whose connection breaks may reconnect within a short grace period
 * and finds its pieces still queued: a connection reset does not cause them to
 * run again.
 */
class PeerServer : public QObject {
 public:
  /**
   * Receives the presence of an instance, as indicated by its connection to
   * this instance.
   */
  using PresenceCallback =
      std::function<void(const std::string& name, Presence presence)>;
  /** Called when an instance requests to follow the changes of the store. */
  using FollowCallback = std::function<void(const std::string& identity,
                                            const peer::FollowRequest&)>;

  /**
   * The referenced objects must outlive this.
   * @param local dispatcher of this instance.
   * @param coordinator places requests on the cells that this instance owns.
   * @param revision_gossip latest store revisions, exchanged with the other
   *     instances.
   * @param on_presence see PresenceCallback.
   */
  PeerServer(StageDispatcher& local, PlacementCoordinator& coordinator,
             RevisionGossip& revision_gossip, PresenceCallback on_presence);
  ~PeerServer() override;

  /**
   * @param address "ip:port" to listen on for connections of other instances.
   * @return kIniInvalid if it cannot be bound.
   */
  utils::Result<void> Listen(const std::string& address);
  /** @param callback see FollowCallback. */
  void set_on_follow(FollowCallback callback) {
    on_follow_ = std::move(callback);
  }
  /** @param callback called with each frame of another instance. */
  void set_on_frame(
      std::function<void(const std::string& identity, const peer::Frame&)>
          callback) {
    on_frame_ = std::move(callback);
  }
  /**
   * @param callback called once for each new connection; may add to the first
   *     frame that is sent on it.
   */
  void set_on_new_peer(std::function<void(peer::Frame&)> callback) {
    on_new_peer_ = std::move(callback);
  }
  /**
   * @param identity process start of an instance, "name#start".
   * @return the frame that will be sent to it next, or nullptr if it has no
   *     connection to this instance.
   */
  peer::Frame* FrameTo(const std::string& identity);
  /**
   * Begins a planned stop: notifies the connected instances that this instance
   * is leaving.
   */
  void Leave();
  /**
   * @param now current time.
   * @return true while pieces of connected instances are in progress, or their
   *     results may still be in flight.
   */
  bool busy(stages::Clock::time_point now) const;
  /** @return bytes buffered by all links that peers have opened. */
  size_t buffered() const;

 private:
  struct PeerState;

  void Accept(int fd);
  void OnFrame(peer::PeerLink* link, peer::Frame&& frame);
  void OnLost(peer::PeerLink* link);
  PeerState& PeerStateOf(peer::PeerLink* link, const std::string& identity);
  void AcceptPiece(const std::string& identity, PeerState& peer_state,
                   peer::PieceOrder&& order);
  void CancelPiece(PeerState& peer_state, uint64_t ticket);
  void OnDone(const std::string& identity, uint64_t ticket,
              const std::string& service, const stages::PieceResult& result);
  void DropDisconnected();
  void AddBacklogs(peer::Frame& frame) const;

  void HandlePlacements(const std::string& identity, const peer::Frame& frame,
                        PeerState& peer_state);

  StageDispatcher& local_;
  PlacementCoordinator& coordinator_;
  RevisionGossip& revision_gossip_;
  PresenceCallback on_presence_;
  FollowCallback on_follow_;
  std::function<void(peer::Frame&)> on_new_peer_;
  std::function<void(const std::string&, const peer::Frame&)> on_frame_;
  std::unique_ptr<http::Listener> listener_;
  /** By identity, "name#start". */
  std::map<std::string, std::unique_ptr<PeerState>> peers_;
  std::unordered_map<peer::PeerLink*, std::string> identity_of_;
  QTimer drop_timer_;
  bool leaving_ = false;
};

}  // namespace turmeric::entry
