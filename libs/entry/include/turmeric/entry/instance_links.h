#pragma once

#include <QObject>
#include <QTimer>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <string_view>

#include "turmeric/entry/instance_info.h"
#include "turmeric/peer/peer_link.h"

namespace turmeric::entry {

struct EntryContext;

/** What an instance's connection to us says of it. */
enum class Presence {
  kHere,     ///< It has connected.
  kLeaving,  ///< It has begun a planned stop.
  kGone,     ///< The connection has ended; it may be back at any moment.
};

/**
 * The other instances of the fleet, which of them can be reached, and the
 * connections that we open to them. Each is connected to once, so that all know
 * at the same time who is here again and who leaves: found out by every
 * instance alone, the queue of an owner would be in several places meanwhile.
 */
class InstanceLinks : public QObject {
 public:
  using Clock = std::chrono::steady_clock;

  /** Told of what happens on our connections. */
  struct Events {
    std::function<void(const std::string& name, peer::Frame&&)> on_frame;
    /** @param again_there true: a reset, which says nothing of the instance. */
    std::function<void(const std::string& name, bool again_there)> on_lost;
    /** @param frame the first on a new connection; may be added to. */
    std::function<void(peer::Frame& frame)> on_connect;
  };

  /** @param context the instance's state; must outlive this. */
  explicit InstanceLinks(EntryContext& context);

  /** @param events see Events. */
  void set_events(Events events) { events_ = std::move(events); }
  /** The fleet's list was read. @param fleet all instances, ourselves
   * included. @param listed true if we stand in the list. */
  void SetInstances(const Instances& fleet, bool listed);
  /** @param name an instance that has a connection to us, or had. @param
   * presence what that says of it. */
  void OnSeen(const std::string& name, Presence presence);
  /** A planned stop: all are told, and we own nothing any more. */
  void Leave();

  /** @return true unless most of the other instances were not reached. */
  bool ReachesMost() const;
  /** @param key of what is owned. @return the instance that owns it, by
   * rendezvous hashing over those that can be reached; nullopt: ourselves. */
  std::optional<std::string> OwnerOf(const std::string& key);
  /** @param name another instance. @return a connection to it, opened if there
   * is none; nullptr if the name is not known. */
  peer::PeerLink* Open(const std::string& name);
  /** @param add adds to the next frame to each instance that is not down. */
  void TellAll(const std::function<void(peer::Frame& frame)>& add);
  /** @param name another instance. @return our open connection, or nullptr. */
  peer::PeerLink* Find(const std::string& name);
  /** @param name another instance that does not answer: its connection ends,
   * and it counts as not reachable. */
  void GiveUp(const std::string& name);
  /** @param name an instance. @return true if it has begun a planned stop. */
  bool leaving(const std::string& name) const;

 private:
  struct Instance {
    std::string address;
    peer::PeerLink* link = nullptr;
    bool leaving = false;
    bool down = false;  ///< Not reached; not asked until it is heard again.
    int failures = 0;   ///< Connections in a row that failed.
    Clock::time_point retry_at;
    /** When it would last have been chosen, had it not been down. */
    Clock::time_point missed;
  };

  peer::PeerLink& Connect(const std::string& name, Instance& instance);
  void OnFrame(const std::string& name, peer::Frame&& frame);
  void OnEnd(const std::string& name, std::string_view why);
  void NoteDown(Instance& instance);
  void RetryDown();

  EntryContext& context_;
  std::string identity_;  ///< Our name and which start of it this is.
  Events events_;
  std::map<std::string, Instance> instances_;  ///< By name, without us.
  QTimer retry_;
  bool leaving_ = false;
};

}  // namespace turmeric::entry
