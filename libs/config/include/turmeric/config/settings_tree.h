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

/** Store key prefix under which every settings level lives. */
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
 * Every instance's copy of the settings tree, fed by a watch on the
 * platform's object API. A change is applied only if its revision is newer
 * than the one held for that key, so an accepted setting never reverts,
 * even when a resumed watch replays old changes. Thread-safe.
 */
class SettingsTree {
 public:
  /** @param store the platform's object API; must outlive this. */
  explicit SettingsTree(store::ObjectStore& store);

  /**
   * Arms (or re-arms after a break) the watch from the last revision seen.
   * @return kStoreUnavailable while the store is down; the cache stays.
   */
  utils::Result<void> Arm();
  /** @return true while the watch is armed. */
  bool armed() const;
  /** @return true once the whole tree has been read. */
  bool synced() const { return watch_.synced(); }
  /** @return the watch that feeds the tree. */
  store::ResumableWatch& watch() { return watch_; }

  /**
   * Applies one change as delivered by a watch or read.
   * @param change a stored object under kConfigPrefix.
   * @return true if it was newer and applied.
   */
  bool Apply(const store::StoredObject& change);

  /**
   * Merges group → business → pipeline → organisation.
   * @param business business name.
   * @param pipeline pipeline name.
   * @param organisation organisation name.
   * @return settings, or kUnknownPipeline / kUnknownOrganisation.
   */
  utils::Result<ResolvedSettings> Resolve(std::string_view business,
                                          std::string_view pipeline,
                                          std::string_view organisation) const;

  /** @return highest revision applied. */
  int64_t revision() const;
  /** @return number of levels held. */
  size_t size() const;

 private:
  store::KeyRevisions HeldLevels() const;
  struct Held {
    /** Shared by every level that states the same text (interned). */
    std::shared_ptr<const SettingsLayer> layer;
    int64_t revision = 0;
  };
  std::shared_ptr<const SettingsLayer> Intern(SettingsLayer layer);
  store::ResumableWatch watch_;
  mutable std::mutex mu_;
  std::map<std::string, Held, std::less<>> levels_;
  /** Hash of canonical text -> layer, so identical levels are held once. */
  std::unordered_map<size_t, std::weak_ptr<const SettingsLayer>> interned_;
  int64_t revision_ = 0;
};

}  // namespace turmeric::config
