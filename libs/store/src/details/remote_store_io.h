#pragma once

#include <QByteArray>
#include <QNetworkAccessManager>
#include <QObject>
#include <QPointer>
#include <functional>
#include <map>
#include <set>
#include <string>

#include "turmeric/store/object_store.h"
#include "turmeric/store/remote_store.h"

class QNetworkReply;
class QTimer;

namespace turmeric::store::details {

/** One answer of the object API. */
struct ApiAnswer {
  int status = 0;  ///< HTTP status; 0: none came.
  QByteArray body;
  bool not_sent = false;  ///< No connection: the call certainly did nothing.
};

/** One call of the object API. */
struct ApiCall {
  QByteArray method;
  std::string path;
  QByteArray body;
  int64_t expected_version = kAnyVersion;
};

/** RemoteStore's half on its I/O thread: the sockets and their timers. */
class RemoteStoreIo : public QObject {
 public:
  using AnswerHandler = std::function<void(ApiAnswer)>;

  /** @param options where and how. */
  explicit RemoteStoreIo(const RemoteStoreOptions& options);
  /** @param call the call. @param handler gets its end, exactly once. */
  void Start(const ApiCall& call, AnswerHandler handler);
  /**
   * @param id the watch. @param path with prefix and revision.
   * @param callback per change, and once when the watch breaks.
   * @param handler gets status 200 once the state so far was delivered, or
   *     why the watch could not start; exactly once.
   */
  void StartWatch(int64_t id, const std::string& path, WatchCallback callback,
                  AnswerHandler handler);
  /** @param id a watch; its callback is not called again. */
  void StopWatch(int64_t id);
  /** Ends all calls and watches. */
  void Close();

 private:
  struct OpenWatch;
  QNetworkReply* Send(QNetworkAccessManager& network, const ApiCall& call);
  void ReadWatch(int64_t id);
  void EndWatch(int64_t id, ApiAnswer answer);

  RemoteStoreOptions options_;
  QNetworkAccessManager* calls_;
  /** Of their own: waiting watches would use up the call connections. */
  QNetworkAccessManager* watches_network_;
  std::map<int64_t, std::unique_ptr<OpenWatch>> watches_;
  std::set<QNetworkReply*> open_calls_;
};

}  // namespace turmeric::store::details
