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

class PlacementDesk;
class StageDispatcher;
class RevisionGossip;

/**
 * Takes pieces from other instances and has our dispatcher make them. An
 * instance whose connection breaks may come back within a moment and finds
 * its pieces where they were: a reset does not make them anew.
 */
class PieceHost : public QObject {
 public:
  /** Told what an instance's connection to us says of it. */
  using SeenCallback =
      std::function<void(const std::string& name, Presence presence)>;
  /** Told that a guest asks for the store's changes. */
  using FollowCallback = std::function<void(const std::string& identity,
                                            const peer::FollowRequest&)>;

  /** @param local our dispatcher. @param desk places what we own. @param news
   * of the store, to and from guests. All must outlive this.
   * @param on_seen see SeenCallback. */
  PieceHost(StageDispatcher& local, PlacementDesk& desk, RevisionGossip& news,
            SeenCallback on_seen);
  ~PieceHost() override;

  /** @param address "ip:port" where other instances reach us.
   * @return kIniInvalid if it cannot be bound. */
  utils::Result<void> Listen(const std::string& address);
  /** @param callback see FollowCallback. */
  void set_on_follow(FollowCallback callback) {
    on_follow_ = std::move(callback);
  }
  /** @param callback gets each frame of a guest. */
  void set_on_frame(
      std::function<void(const std::string& identity, const peer::Frame&)>
          callback) {
    on_frame_ = std::move(callback);
  }
  /** @param callback adds to the first frame to each start of an instance. */
  void set_on_guest(std::function<void(peer::Frame&)> callback) {
    on_guest_ = std::move(callback);
  }
  /** @param identity one start of an instance. @return the frame that leaves
   * next to it, or nullptr if it has no connection to us. */
  peer::Frame* FrameTo(const std::string& identity);
  /** A planned stop: guests are told to go elsewhere. */
  void Leave();
  /** @return true while pieces of guests are being made here, or their results
   * may not have arrived. @param now the time. */
  bool busy(stages::Clock::time_point now) const;

 private:
  struct Guest;

  void Accept(int fd);
  void OnFrame(peer::PeerLink* link, peer::Frame&& frame);
  void OnLost(peer::PeerLink* link);
  Guest& GuestOf(peer::PeerLink* link, const std::string& identity);
  void Take(const std::string& identity, Guest& guest,
            peer::PieceOrder&& order);
  void CancelOrder(Guest& guest, uint64_t ticket);
  void OnDone(const std::string& identity, uint64_t ticket,
              const std::string& service, const stages::PieceResult& result);
  void DropAbsent();
  void AddBacklogs(peer::Frame& frame) const;

  void Place(const std::string& identity, const peer::Frame& frame,
             Guest& guest);

  StageDispatcher& local_;
  PlacementDesk& desk_;
  RevisionGossip& news_;
  SeenCallback on_seen_;
  FollowCallback on_follow_;
  std::function<void(peer::Frame&)> on_guest_;
  std::function<void(const std::string&, const peer::Frame&)> on_frame_;
  std::unique_ptr<http::Listener> listener_;
  std::map<std::string, std::unique_ptr<Guest>> guests_;  ///< By identity.
  std::unordered_map<peer::PeerLink*, std::string> identity_of_;
  QTimer drop_absent_;
  bool leaving_ = false;
};

}  // namespace turmeric::entry
