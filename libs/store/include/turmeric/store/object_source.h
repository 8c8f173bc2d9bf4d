#pragma once

#include <QJsonObject>
#include <chrono>
#include <cstdint>
#include <functional>
#include <string>
#include <vector>

#include "turmeric/utils/result.h"

namespace turmeric::store {

/** One object of a kind, either listed or changed. */
struct SourceObject {
  std::string name;
  QJsonObject spec;
  int64_t revision = 0;  ///< Store-wide revision of its last change.
  bool deleted = false;  ///< Set only in changes, not in lists.
};

/** Answer to a call: the listed or changed objects of one kind, and the store's
 * revision up to which the answer is complete. */
struct SourceBatch {
  std::vector<SourceObject> objects;
  int64_t revision = 0;
};

/** Called once with the outcome of a call. */
using SourceCallback = std::function<void(utils::Result<SourceBatch>)>;

/**
 * Asynchronous client of the platform's object API, for the kinds of objects
 * that every instance follows.
 * Errors: kStoreUnavailable (no answer, or the store refused the call),
 * kStoreRevisionGone (the store no longer has the requested history),
 * kStoreNotFound, kStoreConflict. Callbacks run on the event loop, never
 * within the call.
 */
class ObjectSource {
 public:
  /** How current a list must be. */
  enum class Freshness {
    kLinearizable,
    kMayBeStale,  ///< Up to seconds old, billed at a tenth of the price.
  };

  virtual ~ObjectSource() = default;
  /**
   * Lists all objects of a kind.
   * @param kind kind of objects. @param freshness how current the list is.
   * @param done receives all objects.
   */
  virtual void List(const std::string& kind, Freshness freshness,
                    SourceCallback done) = 0;
  /**
   * Waits for changes of a kind.
   * @param kind kind of objects.
   * @param after_revision changes after this revision are returned.
   * @param wait longest wait, after which the batch is empty.
   * @param done receives the changes in order.
   */
  virtual void Watch(const std::string& kind, int64_t after_revision,
                     std::chrono::milliseconds wait, SourceCallback done) = 0;
  /**
   * Creates an object or replaces it.
   * @param kind its kind. @param name its name. @param spec its content.
   * @param done receives the outcome, with an empty batch.
   */
  virtual void Put(const std::string& kind, const std::string& name,
                   const QJsonObject& spec, SourceCallback done) = 0;
};

}  // namespace turmeric::store
