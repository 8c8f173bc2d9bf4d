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

/** The answer to one call of the object API. */
struct ApiAnswer {
  int status = 0;  ///< HTTP status; 0 if the call was not answered.
  QByteArray body;
  bool not_sent = false;  ///< No connection: the call had no effect.
};

/** One call of the object API. */
struct ApiCall {
  QByteArray method;
  std::string path;
  QByteArray body;
  int64_t expected_version = kAnyVersion;
};

/** The part of RemoteStore that lives on its I/O thread: connections and their
 * timers. */
class RemoteStoreIo : public QObject {
 public:
  using AnswerHandler = std::function<void(ApiAnswer)>;

  /** @param options address and timeouts. */
  explicit RemoteStoreIo(const RemoteStoreOptions& options);
  /** Starts a call. @param call the call. @param handler called exactly once
   * with the answer. */
  void Start(const ApiCall& call, AnswerHandler handler);
  /**
   * Starts a watch.
   * @param id identifier of the watch.
   * @param path request path with prefix and revision.
   * @param callback called per change, and once when the watch breaks.
   * @param handler called exactly once: with status 200 when the replay was
   *     delivered, or with the answer with which the start failed.
   */
  void StartWatch(int64_t id, const std::string& path, WatchCallback callback,
                  AnswerHandler handler);
  /** Ends a watch without calling its callback. @param id the watch. */
  void StopWatch(int64_t id);
  /** Ends all calls and watches with an error. */
  void Close();

 private:
  struct OpenWatch;
  QNetworkReply* Send(QNetworkAccessManager& network, const ApiCall& call);
  void ReadWatch(int64_t id);
  void EndWatch(int64_t id, ApiAnswer answer);

  RemoteStoreOptions options_;
  QNetworkAccessManager* call_network_;
  /** Separate from `call_network_`: open watches would occupy the connections
   * that calls need. */
  QNetworkAccessManager* watch_network_;
  std::map<int64_t, std::unique_ptr<OpenWatch>> watches_;
  std::set<QNetworkReply*> open_calls_;
};

}  // namespace turmeric::store::details
