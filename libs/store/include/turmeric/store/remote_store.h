#pragma once

#include <QThread>
#include <chrono>
#include <cstdint>
#include <memory>
#include <mutex>
#include <string>

#include "turmeric/store/object_store.h"

class QByteArray;

namespace turmeric::store {

namespace details {
class RemoteStoreIo;
struct ApiAnswer;
}  // namespace details

/** Address and timeouts of the platform's object API. */
struct RemoteStoreOptions {
  std::string address;  ///< "ip:port".
  std::chrono::milliseconds call_timeout{1000};
  /** A watch that delivers nothing, not even a bookmark, for this long counts
   * as broken. */
  std::chrono::milliseconds watch_idle_timeout{3000};
  /** After an unanswered call, all calls fail at once for this long. */
  std::chrono::milliseconds breaker_pause{200};
};

/**
 * Client of the platform's object API over HTTP. Calls block the calling thread
 * until the answer or the timeout; they must not be made on the event loop. An
 * unanswered write fails with kStoreAnswerLost (it may have been applied), an
 * unanswered read with kStoreUnavailable. Watch callbacks run on the store's
 * I/O thread. Thread-safe.
 */
class RemoteStore : public ObjectStore {
 public:
  /** @param options address and timeouts. */
  explicit RemoteStore(RemoteStoreOptions options);
  ~RemoteStore() override;

  utils::Result<StoredObject> Get(std::string_view key) override;
  utils::Result<ObjectList> List(std::string_view prefix) override;
  utils::Result<StoredObject> Put(std::string_view key, std::string_view value,
                                  int64_t expected_version) override;
  utils::Result<void> Delete(std::string_view key,
                             int64_t expected_version) override;
  utils::Result<int64_t> Watch(std::string_view prefix, int64_t after_revision,
                               WatchCallback callback) override;
  void CancelWatch(int64_t watch_id) override;

 private:
  /** Makes one call and waits for its end. Fails at once while the circuit
   * breaker is open. */
  details::ApiAnswer Call(const QByteArray& method, const std::string& path,
                          const QByteArray& body, int64_t expected_version);
  bool BreakerOpen();
  void UpdateBreaker(bool answered);

  RemoteStoreOptions options_;
  QThread thread_;
  details::RemoteStoreIo* io_;  ///< Lives on thread_.
  std::mutex mu_;
  std::chrono::steady_clock::time_point breaker_open_until_;
  int64_t next_watch_id_ = 1;
};

}  // namespace turmeric::store
