#pragma once

#include <QObject>
#include <QTimer>
#include <chrono>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <span>
#include <string>

#include "turmeric/entry/revision_gossip.h"
#include "turmeric/peer/frame.h"
#include "turmeric/routing/evacuated_zones.h"
#include "turmeric/routing/upstream.h"
#include "turmeric/store/kind_replica.h"
#include "turmeric/store/logged_objects.h"
#include "turmeric/store/reflector.h"

namespace turmeric::entry {

struct EntryContext;
struct PlatformLink;

/**
 * Keeps an instance's route table, upstreams and evacuated zones as they are in
 * the store, by own calls or from changes that other instances pass on. A table
 * is only replaced by one of a higher version, so an accepted configuration
 * never reverts, whatever a read returns or another instance sends.
 */
class TopologyFeed : public QObject {
 public:
  using Clock = std::chrono::steady_clock;
  /** Called with changes that are now in force here. */
  using MergedCallback =
      std::function<void(peer::StoreKind, const store::ChangeBatch&)>;

  /**
   * @param context state that is kept up to date.
   * @param link interfaces of the platform.
   */
  TopologyFeed(EntryContext& context, PlatformLink& link);
  ~TopologyFeed() override;

  /** Lists the store, and watches it unless Watch has disabled that. */
  void Start();
  /**
   * Sets whether this instance watches the store.
   * @param watch false: changes come from other instances; the store is queried
   *     only for changes that these instances lack.
   * @param slow_retry see store::Reflector::set_slow_retry.
   */
  void Watch(bool watch, bool slow_retry);
  /**
   * @param watchers number of instances that watch the store; their watches end
   *     at different times, so each may wait longer.
   */
  void set_watchers(int watchers) { watchers_ = watchers; }
  /** @return how long a watch waits for a change, here and on relays. */
  std::chrono::milliseconds watch_wait() const;
  /**
   * Merges changes passed on by another instance.
   * @param source name of the instance, for the log.
   * @param changes the changes.
   */
  void Merge(const std::string& source, const peer::StoreChanges& changes);
  /**
   * Queries the store once for a newer configuration and applies it.
   * @param done called with true if the configuration in force is the store's
   *     latest.
   */
  void FetchConfig(std::function<void(bool is_latest)> done);
  /**
   * Records the end of the store's last outage as reported by another instance.
   * @param at time of the end.
   */
  void NoteOutageEnded(Clock::time_point at);
  /** @param callback see MergedCallback. */
  void set_on_merged(MergedCallback callback) {
    on_merged_ = std::move(callback);
  }
  /**
   * @param age returns the time since the last answer of the store on the path
   *     of any followed relay.
   */
  void set_relayed_store_age(std::function<std::chrono::milliseconds()> age) {
    relayed_store_age_ = std::move(age);
  }
  /** @param callback called after each change of the route table or the
   * upstreams. */
  void set_on_applied(std::function<void()> callback) {
    on_applied_ = std::move(callback);
  }
  /** @param callback called when the store has begun a new era. */
  void set_on_new_era(std::function<void()> callback) {
    on_new_era_ = std::move(callback);
  }
  /**
   * @return when the store last confirmed that this instance has all
   *     configurations.
   */
  Clock::time_point config_answered_at() const {
    return kinds_.at(peer::StoreKind::kConfig).reflector->last_answer_at();
  }
  /**
   * @return the oldest of the last answers of the store to this instance, over
   *     all kinds of objects.
   */
  Clock::time_point store_answered_at() const;
  /** @return the end of the store's last outage, if one is known. */
  std::optional<Clock::time_point> outage_ended() const {
    return outage_ended_;
  }
  /** @return the revisions up to which all changes are known. */
  peer::StoreRevisions revisions() const;
  /** @return the revisions of the newest changes known. */
  RevisionGossip::Revisions newest_revisions() const;
  /**
   * @return true once all kinds of objects were listed, also if there is no
   *     table yet.
   */
  bool all_synced() const;
  /** @return true once a table, the upstreams and the evacuations are known. */
  bool complete() const;
  /** @param callback called when complete() becomes true. */
  void set_on_complete(std::function<void()> callback) {
    on_complete_ = std::move(callback);
  }

 private:
  /** State of one kind of objects. */
  struct KindState {
    store::KindReplica replica;
    std::unique_ptr<store::Reflector> reflector;
    bool is_overdue = false;  ///< Changes are lacking for longer than stated.
  };

  store::ReflectorEvents EventsOf(peer::StoreKind kind);
  KindState& Of(peer::StoreKind kind) { return kinds_.at(kind); }
  void LogOverdue(peer::StoreKind kind, KindState& state);
  void OnList(peer::StoreKind kind, const store::SourceBatch& list,
              std::chrono::milliseconds outage);
  void OnChanges(peer::StoreKind kind, const store::ChangeBatch& batch,
                 std::chrono::milliseconds outage);
  void Apply(peer::StoreKind kind,
             std::span<const store::SourceObject> changed_objects,
             const std::string& source, bool from_copy = false);
  std::chrono::milliseconds NoteOutage(std::chrono::milliseconds outage);
  void OnConfig(const store::SourceObject& object, const std::string& source);
  void OnUpstreamList(std::span<const store::SourceObject> objects,
                      std::chrono::milliseconds outage, bool from_copy);
  void OnUpstreamChange(const store::SourceObject& object,
                        Clock::time_point keep_until, bool from_copy);
  /**
   * Records a change of the store's era.
   * @param kind kind of objects.
   * @param before previous position of the kind.
   * @param after new position of the kind.
   * @param source origin of the change, for the log.
   * @return true if the new position is of another era.
   */
  bool NoteEra(peer::StoreKind kind, store::Position before,
               store::Position after, const std::string& source);
  void OnEvacuation(const store::SourceObject& object,
                    const std::string& source, bool from_copy);
  /** Applies the current set of evacuated zones to the upstreams. */
  void ApplyEvacuations();
  /**
   * Extends the time until which an upstream is treated as cold, as stated by
   * its entry.
   */
  void NoteCold(std::string_view upstream);
  std::optional<routing::UpstreamEntry> DecodeEntry(
      const store::SourceObject& object);
  void NoteComplete();
  /**
   * @return until when an entry that is missing after an outage is still used.
   */
  Clock::time_point KeepUntil() const;

  EntryContext& context_;
  PlatformLink& link_;
  std::map<peer::StoreKind, KindState> kinds_;
  routing::EvacuatedZones evacuations_;
  store::LoggedObjects unreadable_upstreams_;
  int watchers_ = 1;
  std::optional<Clock::time_point> outage_ended_;
  std::function<void()> on_complete_;
  MergedCallback on_merged_;
  std::function<void()> on_applied_;
  std::function<void()> on_new_era_;
  std::function<std::chrono::milliseconds()> relayed_store_age_;
  QTimer expire_timer_;
};

}  // namespace turmeric::entry
