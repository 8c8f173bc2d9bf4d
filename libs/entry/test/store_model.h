#pragma once

#include <chrono>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "turmeric/store/change_batch.h"
#include "turmeric/store/position.h"

namespace turmeric::entry::test {

/**
 * Model of the store for one kind of objects: for each era a log of changes and
 * the contents after each change. An era begins when the store is restored from
 * a copy.
 */
class StoreModel {
 public:
  using Clock = std::chrono::steady_clock;
  using Contents = std::map<std::string, int64_t>;

  StoreModel() { heads_.emplace_back(Clock::time_point(), position()); }

  /**
   * Changes or removes an object.
   * @param name name of the object. @param remove true: remove it if it exists.
   * @param now current time.
   */
  void Change(const std::string& name, bool remove, Clock::time_point now);
  /**
   * Restores the store from a copy.
   * @param lost number of the latest changes that the copy lacks.
   * @param now current time.
   */
  void RestoreFromCopy(size_t lost, Clock::time_point now);
  /** Discards the history: watches from earlier positions fail. */
  void DropHistory() { history_begins_ = position(); }
  /** @return the position after the last change. */
  store::Position position() const {
    return store::MakePosition(
        era(), static_cast<int64_t>(eras_.back().held.size()) - 1);
  }
  /** @param known a position. @return the changes after it; nullopt if the
   * store has no history for it. */
  std::optional<store::ChangeBatch> Since(store::Position known) const;
  /** @return all objects. */
  store::SourceBatch List() const;
  /** @param at a position. @return the store's contents at it. */
  Contents HeldAt(store::Position at) const;
  /** @param time a point in time. @return the newest position before it. */
  store::Position PositionBefore(Clock::time_point time) const;

 private:
  struct Object {
    int64_t content = 0;
    int64_t revision = 0;  ///< Revision of its last change.
  };
  using Objects = std::map<std::string, Object>;
  struct Era {
    std::vector<store::SourceObject> log;
    std::vector<Objects> held = {{}};
  };

  int64_t era() const { return static_cast<int64_t>(eras_.size()) - 1; }
  store::SourceObject ToSource(const std::string& name, const Object& object,
                               bool deleted) const;

  std::vector<Era> eras_ = std::vector<Era>(1);
  int64_t last_content_ = 0;
  store::Position history_begins_ = 0;
  std::vector<std::pair<Clock::time_point, store::Position>> heads_;
};

}  // namespace turmeric::entry::test
