#pragma once

#include <QObject>
#include <QTimer>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "turmeric/entry/instance_info.h"
#include "turmeric/peer/peer_link.h"

namespace turmeric::entry {

struct EntryContext;

/** State of an instance as shown by its connection to this instance. */
enum class Presence {
  kConnected,     ///< The connection is open, no planned stop.
  kLeaving,       ///< The instance has begun a planned stop.
  kDisconnected,  ///< The connection has ended; the instance may reconnect.
};

/**
 * The other instances of the fleet, their reachability, and the connections
 * that this instance opens to them. Every instance opens one connection to each
 * other, so that all detect at the same time that an instance has started or is
 * stopping. If each instance detected this separately, instances would disagree
 * about owners, and the queue of one owner would be at several instances for a
 * while.
 */
class InstanceLinks : public QObject {
 public:
  using Clock = std::chrono::steady_clock;

  /** Callbacks for events on connections opened by this instance. */
  struct Events {
    std::function<void(const std::string& name, peer::Frame&&)> on_frame;
    /**
     * @param was_reset true: the connection was reset, which does not mean that
     *     the instance has failed.
     */
    std::function<void(const std::string& name, bool was_reset)> on_lost;
    /**
     * @param frame the first frame on a new connection; the callback may add to
     *     it.
     */
    std::function<void(peer::Frame& frame)> on_connect;
  };

  /** @param context state of this instance; must outlive this object. */
  explicit InstanceLinks(EntryContext& context);

  /** @param events see Events. */
  void set_events(Events events) { events_ = std::move(events); }
  /**
   * Updates the known instances from the fleet's list.
   * @param fleet all instances, including this one.
   * @param listed true if the store's list contains this instance.
   */
  void SetInstances(const Instances& fleet, bool listed);
  /**
   * Records the state of an instance as shown by its connection to this one.
   * @param name name of the instance.
   * @param presence the state.
   */
  void OnPresence(const std::string& name, Presence presence);
  /**
   * Begins a planned stop: notifies all connected instances; from then on this
   * instance owns no keys.
   */
  void Leave();

  /**
   * @param name name of another instance.
   * @return true if it is reachable. If it is not, it is retried for some time.
   */
  bool Reaches(const std::string& name);
  /** @return true if at least half of the other instances are reachable. */
  bool ReachesMost() const;
  /** @return true if the fleet's list has other instances. */
  bool has_others() const { return !instances_.empty(); }
  /** @return true if less than half of the other instances are reachable, or
   * none. */
  bool IsIsolated() const { return !has_others() || !ReachesMost(); }
  /**
   * @param key key of an owned object, such as a queue.
   * @return the owner by rendezvous hashing over the instances that are
   *     reachable and not stopping; nullopt: this instance.
   */
  std::optional<std::string> OwnerOf(const std::string& key);
  /**
   * @param key key of a replicated object.
   * @param count most names returned.
   * @param with_leaving true: also instances that have begun a planned stop.
   * @return the other instances that are reachable, by their rendezvous weight
   *     for the key, highest first.
   */
  std::vector<std::string> HoldersOf(const std::string& key, size_t count,
                                     bool with_leaving) const;
  /** @param count most names returned. @return the reachable instances that
   * follow this one in the order of names, the first one after the last. */
  std::vector<std::string> Successors(size_t count) const;
  /**
   * @param name name of another instance.
   * @return a connection to it, opened if there is none; nullptr if the name is
   *     unknown.
   */
  peer::PeerLink* Open(const std::string& name);
  /** @return bytes buffered by all links that this instance has opened. */
  size_t buffered() const;
  /**
   * @param add called with the next frame to each reachable instance, to add to
   *     it.
   */
  void Broadcast(const std::function<void(peer::Frame& frame)>& add);
  /**
   * @param name name of another instance.
   * @return the connection opened to it, or nullptr.
   */
  peer::PeerLink* Find(const std::string& name);
  /**
   * Closes the connection to an instance that does not answer, and marks it as
   * unreachable.
   * @param name name of the instance.
   */
  void CloseUnresponsive(const std::string& name);
  /**
   * @param name name of an instance.
   * @return true if it has begun a planned stop.
   */
  bool leaving(const std::string& name) const;

 private:
  struct Instance {
    std::string address;
    peer::PeerLink* link = nullptr;
    bool leaving = false;
    bool unreachable = false;  ///< Not an owner until it responds again.
    int failures = 0;          ///< Consecutive failed connections.
    Clock::time_point retry_at;
    /** Last time at which the instance was needed while it was unreachable. */
    Clock::time_point last_needed;
  };

  peer::PeerLink& Connect(const std::string& name, Instance& instance);
  void OnFrame(const std::string& name, peer::Frame&& frame);
  void OnEnd(const std::string& name, std::string_view why);
  void RetryWanted(Instance& instance);
  void MarkUnreachable(Instance& instance);
  void RetryUnreachable();

  EntryContext& context_;
  std::string identity_;  ///< Name and random suffix of this process start.
  Events events_;
  std::map<std::string, Instance> instances_;  ///< By name, without this one.
  QTimer retry_timer_;
  bool leaving_ = false;
};

}  // namespace turmeric::entry
