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
#include "turmeric/store/reflector.h"

namespace turmeric::entry {

struct EntryContext;
struct PlatformLink;

/**
 * Keeps an instance's route table and upstreams as the store has them, by its
 * own calls or by what other instances pass on. A table is replaced only by
 * one of a higher version, so an accepted configuration never reverts,
 * whatever a read returns or another instance tells.
 */
class TopologyFeed : public QObject {
 public:
  using Clock = std::chrono::steady_clock;
  /** Told of changes that are in force here now. */
  using MergedCallback =
      std::function<void(peer::StoreKind, const store::ChangeBatch&)>;

  /** @param context what is kept up to date. @param link the platform. */
  TopologyFeed(EntryContext& context, PlatformLink& link);
  ~TopologyFeed() override;

  /** Reads the store, and follows it unless told otherwise. */
  void Start();
  /** @param watch false: changes come from other instances; the store is only
   * asked for what they lack. @param patient see store::Reflector. */
  void Watch(bool watch, bool patient);
  /** @param watchers how many instances wait at the store; their answers come
   * at different times, so each may wait for longer. */
  void set_watchers(int watchers) { watchers_ = watchers; }
  /** @return how long a watch waits for a change, here and on relays. */
  std::chrono::milliseconds watch_wait() const;
  /**
   * Another instance passes on changes.
   * @param source its name, for the log. @param changes they.
   */
  void Merge(const std::string& source, const peer::StoreChanges& changes);
  /**
   * Asks the store once for a newer configuration, and puts it into force.
   * @param done told whether what is in force is the store's latest.
   */
  void AskForConfig(std::function<void(bool is_latest)> done);
  /** Another instance knows when the store's last outage ended.
   * @param at when. */
  void NoteOutageEnded(Clock::time_point at);
  /** @param callback see MergedCallback. */
  void set_on_merged(MergedCallback callback) {
    on_merged_ = std::move(callback);
  }
  /** @param age gives since when no other instance that we follow has heard
   * the store. */
  void set_others_store_age(std::function<std::chrono::milliseconds()> age) {
    others_store_age_ = std::move(age);
  }
  /** @param callback called when the store has begun a new era. */
  void set_on_new_era(std::function<void()> callback) {
    on_new_era_ = std::move(callback);
  }
  /** @return when the store last told us of all configurations. */
  Clock::time_point config_answered() const {
    return kinds_.at(peer::StoreKind::kConfig).reflector->answered_at();
  }
  /** @return when the store last answered us for all kinds. */
  Clock::time_point store_heard() const;
  /** @return the end of its last outage, if one is known. */
  std::optional<Clock::time_point> outage_ended() const {
    return outage_ended_;
  }
  /** @return up to which revisions all changes are known. */
  peer::StoreRevisions revisions() const;
  /** @return the newest changes known. */
  StoreNews::Seen newest() const;
  /** @return true once the store was read, also if it holds no table yet. */
  bool read() const;
  /** @return true once a table, the upstreams and the evacuations were read. */
  bool complete() const;
  /** @param callback called when complete() turns true. */
  void set_on_complete(std::function<void()> callback) {
    on_complete_ = std::move(callback);
  }

 private:
  /** How one kind is followed. */
  struct Kind {
    store::KindReplica replica;
    std::unique_ptr<store::Reflector> reflector;
  };

  store::ReflectorEvents EventsOf(peer::StoreKind kind);
  Kind& Of(peer::StoreKind kind) { return kinds_.at(kind); }
  void OnList(peer::StoreKind kind, const store::SourceBatch& list,
              std::chrono::milliseconds outage);
  void OnChanges(peer::StoreKind kind, const store::ChangeBatch& batch,
                 std::chrono::milliseconds outage);
  void Apply(peer::StoreKind kind, std::span<const store::SourceObject> news,
             const std::string& source, bool from_copy = false);
  std::chrono::milliseconds NoteOutage(std::chrono::milliseconds outage);
  void OnConfig(const store::SourceObject& object, const std::string& source);
  void OnUpstreamList(std::span<const store::SourceObject> objects,
                      std::chrono::milliseconds outage, bool from_copy);
  void OnUpstreamChange(const store::SourceObject& object,
                        Clock::time_point keep_till, bool from_copy);
  /** @param before position of the kind. @param after position that it gets
   * now.
   * @return true if a new era of the store begins with it. */
  bool NoteEra(peer::StoreKind kind, store::Position before,
               store::Position after, const std::string& source);
  void OnEvacuation(const store::SourceObject& object,
                    const std::string& source, bool from_copy);
  /** Puts into force which zones are evacuated now. */
  void ApplyEvacuations();
  /** Keeps till when an upstream is cold, as its entry says. */
  void NoteCold(std::string_view upstream);
  std::optional<routing::UpstreamEntry> ReadEntry(
      const store::SourceObject& object);
  void NoteComplete();
  /** Till when an entry that is missing after an outage is still used. */
  Clock::time_point KeepTill() const;

  EntryContext& context_;
  PlatformLink& link_;
  std::map<peer::StoreKind, Kind> kinds_;
  routing::EvacuatedZones evacuations_;
  int watchers_ = 1;
  std::optional<Clock::time_point> outage_ended_;
  std::function<void()> on_complete_;
  MergedCallback on_merged_;
  std::function<void()> on_new_era_;
  std::function<std::chrono::milliseconds()> others_store_age_;
  QTimer expire_;
};

}  // namespace turmeric::entry
