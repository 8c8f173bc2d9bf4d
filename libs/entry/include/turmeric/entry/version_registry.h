#pragma once

#include <QObject>
#include <QTimer>
#include <functional>
#include <map>
#include <optional>
#include <random>
#include <span>
#include <string>
#include <vector>

#include "turmeric/peer/frame.h"
#include "turmeric/routing/upstream_clock.h"
#include "turmeric/store/logged_objects.h"
#include "turmeric/store/object_source.h"
#include "turmeric/streams/stream_origin.h"
#include "turmeric/streams/version_set.h"

namespace turmeric::entry {

struct EntryContext;

/**
 * The software versions at which the streams of each service may have begun,
 * kept in the platform's store. An upstream whose version is not registered
 * receives no new work while other upstreams of its service can serve: a read
 * of the registry after the begin of a stream therefore returns its version.
 * Only services of routes with resumable streams take part.
 */
class VersionRegistry : public QObject {
 public:
  using Clock = routing::Clock;
  using Versions = std::vector<std::string>;

  /** Connections of the registry to the other instances. */
  struct Links {
    /** @return true if this instance owns the key. */
    std::function<bool(const std::string& key)> owns;
    /** Adds to the next frame to each reachable instance. */
    std::function<void(const std::function<void(peer::Frame&)>&)> broadcast;
  };
  /** @param read true if the store has answered: VersionsOf returns all
   *     versions that were registered before the call. */
  using ReadCallback = std::function<void(bool read)>;
  /** Called when a version of a service was registered. */
  using ChangeCallback = std::function<void(const std::string& service)>;

  /**
   * @param context the instance's state; must outlive this.
   * @param links see Links.
   */
  VersionRegistry(EntryContext& context, Links links);

  /**
   * Begins to use the store.
   * @param source the store; must outlive this.
   * @param kind kind of the objects, one for each version of a service.
   */
  void Start(store::ObjectSource& source, std::string kind);
  /** @param callback see ChangeCallback. */
  void set_on_change(ChangeCallback callback) {
    on_change_ = std::move(callback);
  }
  /** Registers the versions that are newly listed. Called after each change of
   * the upstreams or the configuration. */
  void Update();
  /** Reads the registry. @param done called from inside this call or within a
   * fraction of a second. */
  void Read(ReadCallback done);
  /** @param service a service. @return its versions, as far as this instance
   * knows: those that are registered and those that are about to be. */
  Versions VersionsOf(const std::string& service) const;
  /** Registers all versions again, after the store has lost recent writes. */
  void OnNewEra();
  /** @param frame a peer's frame; the versions that it states are applied. */
  void OnFrame(const peer::Frame& frame);
  /** @param frame the first frame to a peer; receives the known versions. */
  void AddKnown(peer::Frame& frame) const;

 private:
  void Add(const streams::StreamOrigin& version);
  /** Registers a version now if this instance owns its key, else after a delay
   * unless the owner has registered it by then. */
  void ScheduleWrite(const streams::StreamOrigin& version);
  void WriteDue();
  void Write(const streams::StreamOrigin& version, bool retired);
  void Expire();
  void MarkUnregistered(const std::string& service);
  void SendRead();
  void OnRead(bool read);
  void Apply(std::span<const store::SourceObject> objects);

  EntryContext& context_;
  Links links_;
  store::ObjectSource* source_ = nullptr;
  std::string kind_;
  ChangeCallback on_change_;
  streams::VersionSet versions_;
  store::LoggedObjects unreadable_;
  /** Versions to be registered, and when. */
  std::map<streams::StreamOrigin, Clock::time_point> unwritten_;
  /** Versions that were dropped here, and when their objects are retired. */
  std::map<streams::StreamOrigin, Clock::time_point> dropped_;
  std::vector<ReadCallback> waiting_;  ///< For the read that is open.
  std::vector<ReadCallback> next_;     ///< For the read after it.
  bool read_open_ = false;
  std::optional<Clock::time_point> read_failed_at_;
  uint64_t read_number_ = 0;
  QTimer write_timer_;
  QTimer update_timer_;
  QTimer read_timeout_;
  std::minstd_rand random_{std::random_device{}()};
};

}  // namespace turmeric::entry
