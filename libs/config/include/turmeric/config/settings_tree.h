#pragma once

#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <string_view>
#include <unordered_map>

#include "turmeric/config/resolved_settings.h"
#include "turmeric/config/settings_layer.h"
#include "turmeric/store/object_store.h"
#include "turmeric/store/resumable_watch.h"
#include "turmeric/utils/result.h"

namespace turmeric::config {

/** Prefix of the store keys of all settings levels. */
inline constexpr std::string_view kConfigPrefix = "config/";

/**
 * @param level "group", "business", "pipeline" or "organisation".
 * @param business business name (unused for "group").
 * @param leaf pipeline or organisation name (unused otherwise).
 * @return the store key, e.g. "config/pipeline/nilelight/translate-notice".
 */
std::string SettingsKey(std::string_view level, std::string_view business,
                        std::string_view leaf);

/**
 * The copy of the settings tree in one instance, updated by a watch on the
 * platform's object API. A change is applied only if its revision is newer
 * than the revision held for its key, so that an accepted setting never
 * reverts when a resumed watch replays old changes. Thread-safe.
 */
class SettingsTree {
 public:
  /** @param store the platform's object API; must outlive this. */
  explicit SettingsTree(store::ObjectStore& store);

  /**
   * Arms the watch, or re-arms it after an interruption, from the last revision
   * received.
   * @return kStoreUnavailable while the store is unreachable; the tree stays as
   *     it is.
   */
  utils::Result<void> Arm();
  /** @return true while the watch is armed. */
  bool armed() const;
  /** @return true once the whole tree has been read. */
  bool synced() const { return watch_.synced(); }
  /** @return the watch that updates the tree. */
  store::ResumableWatch& watch() { return watch_; }

  /**
   * Applies one change that a watch or a read has delivered.
   * @param change a stored object under kConfigPrefix.
   * @return true if the change was newer and has been applied.
   */
  bool Apply(const store::StoredObject& change);

  /**
   * Merges the levels group, business, pipeline and organisation; a key stated
   * at a later level overrides the earlier levels.
   * @param business business name.
   * @param pipeline pipeline name.
   * @param organisation organisation name.
   * @return settings, or kUnknownPipeline / kUnknownOrganisation.
   */
  utils::Result<ResolvedSettings> Resolve(std::string_view business,
                                          std::string_view pipeline,
                                          std::string_view organisation) const;

  /** @return highest revision passed to Apply(). */
  int64_t revision() const;
  /** @return number of levels held. */
  size_t size() const;

 private:
  store::KeyRevisions LevelRevisions() const;
  struct HeldLevel {
    /** Interned: shared by all levels with the same canonical text. */
    std::shared_ptr<const SettingsLayer> layer;
    int64_t revision = 0;
  };
  /** @return a shared layer with the same entries. The caller holds mu_. */
  std::shared_ptr<const SettingsLayer> Intern(SettingsLayer layer);
  store::ResumableWatch watch_;
  mutable std::mutex mu_;
  std::map<std::string, HeldLevel, std::less<>> levels_;
  /** Layers by the hash of their canonical text, so that identical levels are
   * stored once. */
  std::unordered_map<size_t, std::weak_ptr<const SettingsLayer>> interned_;
  int64_t revision_ = 0;
};

}  // namespace turmeric::config
