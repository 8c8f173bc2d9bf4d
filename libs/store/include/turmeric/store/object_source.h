#pragma once

#include <QJsonObject>
#include <chrono>
#include <cstdint>
#include <functional>
#include <string>
#include <vector>

#include "turmeric/utils/result.h"

namespace turmeric::store {

/** One object of a kind, as listed or as a change. */
struct SourceObject {
  std::string name;
  QJsonObject spec;
  int64_t revision = 0;  ///< Store-wide revision of its last change.
  bool deleted = false;  ///< Seen only among changes.
};

/** Objects of a kind and the store's revision they are as of. */
struct SourceBatch {
  std::vector<SourceObject> objects;
  int64_t revision = 0;
};

/** Told the outcome of one call. */
using SourceCallback = std::function<void(utils::Result<SourceBatch>)>;

/**
 * The platform's object API, asynchronous, for what every instance follows.
 * Errors: kStoreUnavailable (no or a refusing answer), kStoreRevisionGone
 * (the history asked for is no longer there), kStoreNotFound,
 * kStoreConflict. Callbacks run on the event loop, never inside the call.
 */
class ObjectSource {
 public:
  /** How current a list must be. */
  enum class Freshness {
    kLinearizable,
    kMayBeStale,  ///< Seconds old, at a tenth of the price.
  };

  virtual ~ObjectSource() = default;
  /** @param kind kind of objects. @param freshness how current.
   * @param done gets all of them. */
  virtual void List(const std::string& kind, Freshness freshness,
                    SourceCallback done) = 0;
  /**
   * Waits for changes.
   * @param kind kind of objects. @param after_revision changes after it.
   * @param wait longest wait; then the batch is empty.
   * @param done gets the changes in order.
   */
  virtual void Watch(const std::string& kind, int64_t after_revision,
                     std::chrono::milliseconds wait, SourceCallback done) = 0;
  /**
   * Creates an object or replaces it.
   * @param kind its kind. @param name its name. @param spec its content.
   * @param done told the outcome; the batch is empty.
   */
  virtual void Put(const std::string& kind, const std::string& name,
                   const QJsonObject& spec, SourceCallback done) = 0;
};

}  // namespace turmeric::store
