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

/** How the platform's object API is reached and how long it may take. */
struct RemoteStoreOptions {
  std::string address;  ///< "ip:port".
  std::chrono::milliseconds call_timeout{1000};
  /** A watch that shows nothing, not even a bookmark, so long is broken. */
  std::chrono::milliseconds watch_silence{3000};
  /** After a failed call, calls fail at once for so long. */
  std::chrono::milliseconds breaker_pause{200};
};

/**
 * The platform's object API over HTTP. Calls block the calling thread until
 * the answer or the timeout; they must not come from the event loop. A write
 * whose answer does not come fails with kStoreAnswerLost (it may have
 * applied), a read with kStoreUnavailable. Watch callbacks run on the
 * store's I/O thread. Thread-safe.
 */
class RemoteStore : public ObjectStore {
 public:
  /** @param options where and how. */
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
  /** Makes one call, unless the breaker is open. */
  details::ApiAnswer Call(const QByteArray& method, const std::string& path,
                          const QByteArray& body, int64_t expected_version);
  bool BreakerOpen();
  void NoteOutcome(bool answered);

  RemoteStoreOptions options_;
  QThread thread_;
  details::RemoteStoreIo* io_;  ///< Lives on thread_.
  std::mutex mu_;
  std::chrono::steady_clock::time_point open_till_;
  int64_t next_watch_ = 1;
};

}  // namespace turmeric::store
