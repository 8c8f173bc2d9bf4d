#include "turmeric/store/remote_store.h"

#include <QJsonArray>
#include <QJsonDocument>
#include <QUrl>
#include <future>
#include <utility>

#include "details/remote_store_io.h"
#include "turmeric/store/object_codec.h"

namespace turmeric::store {

using details::ApiAnswer;
using details::RemoteStoreIo;
using utils::Errc;
using utils::Fail;
using utils::Result;

namespace {

std::string Encoded(std::string_view text) {
  return QUrl::toPercentEncoding(QString::fromUtf8(text.data(), text.size()))
      .toStdString();
}

std::string ObjectPath(std::string_view key) {
  return "/v1/objects?key=" + Encoded(key);
}

QJsonObject Json(const ApiAnswer& answer) {
  return QJsonDocument::fromJson(answer.body).object();
}

/**
 * Maps an answer to an error.
 * @param answer an answer other than 200.
 * @param target key or prefix of the call, for the error text.
 * @param lost error code for a call that was sent and not answered.
 */
utils::Error ErrorOf(const ApiAnswer& answer, std::string_view target,
                     Errc lost) {
  switch (answer.status) {
    case 400:
      return {Errc::kBadRequest, std::string(target)};
    case 404:
      return {Errc::kStoreNotFound, std::string(target)};
    case 409:
      return {Errc::kStoreConflict, std::string(target)};
    case 410:
      return {Errc::kStoreRevisionGone, std::string(target)};
    case 503:
      return {Errc::kStoreUnavailable, std::string(target)};
    default:
      return {answer.not_sent ? Errc::kStoreUnavailable : lost,
              std::string(target) + ": no answer"};
  }
}

}  // namespace

RemoteStore::RemoteStore(RemoteStoreOptions options)
    : options_(std::move(options)), io_(new RemoteStoreIo(options_)) {
  io_->moveToThread(&thread_);
  QObject::connect(&thread_, &QThread::finished, io_, &QObject::deleteLater);
  thread_.start();
}

RemoteStore::~RemoteStore() {
  QMetaObject::invokeMethod(
      io_, [io = io_] { io->Close(); }, Qt::BlockingQueuedConnection);
  thread_.quit();
  thread_.wait();
}

bool RemoteStore::BreakerOpen() {
  std::lock_guard lock(mu_);
  return std::chrono::steady_clock::now() < breaker_open_until_;
}

void RemoteStore::UpdateBreaker(bool answered) {
  // Guard: while the store does not answer, each call blocks until its
  // timeout. With all threads of the store executor blocked, further calls
  // would be queued beyond the deadlines of their requests. After an
  // unanswered call, calls therefore fail at once for `breaker_pause`.
  std::lock_guard lock(mu_);
  breaker_open_until_ =
      answered ? std::chrono::steady_clock::time_point()
               : std::chrono::steady_clock::now() + options_.breaker_pause;
}

ApiAnswer RemoteStore::Call(const QByteArray& method, const std::string& path,
                            const QByteArray& body, int64_t expected_version) {
  if (BreakerOpen()) return {0, {}, true};
  auto promise = std::make_shared<std::promise<ApiAnswer>>();
  auto future = promise->get_future();
  QMetaObject::invokeMethod(
      io_, [io = io_, promise,
            call = details::ApiCall{method, path, body, expected_version}] {
        io->Start(call,
                  [promise](ApiAnswer a) { promise->set_value(std::move(a)); });
      });
  ApiAnswer answer = future.get();
  UpdateBreaker(answer.status != 0);
  return answer;
}

Result<StoredObject> RemoteStore::Get(std::string_view key) {
  const ApiAnswer answer = Call("GET", ObjectPath(key), {}, kAnyVersion);
  if (answer.status == 200) return ObjectFromJson(Json(answer));
  return ErrorOf(answer, key, Errc::kStoreUnavailable);
}

Result<ObjectList> RemoteStore::List(std::string_view prefix) {
  const ApiAnswer answer =
      Call("GET", "/v1/list?prefix=" + Encoded(prefix), {}, kAnyVersion);
  if (answer.status != 200) {
    return ErrorOf(answer, prefix, Errc::kStoreUnavailable);
  }
  const QJsonObject json = Json(answer);
  ObjectList list;
  list.revision = static_cast<int64_t>(json.value("revision").toDouble());
  for (const QJsonValue& item : json.value("items").toArray()) {
    list.objects.push_back(ObjectFromJson(item.toObject()));
  }
  return list;
}

Result<StoredObject> RemoteStore::Put(std::string_view key,
                                      std::string_view value,
                                      int64_t expected_version) {
  const ApiAnswer answer =
      Call("PUT", ObjectPath(key), QByteArray(value.data(), value.size()),
           expected_version);
  if (answer.status != 200) return ErrorOf(answer, key, Errc::kStoreAnswerLost);
  StoredObject written = ObjectFromJson(Json(answer));
  written.value = value;
  return written;
}

Result<void> RemoteStore::Delete(std::string_view key,
                                 int64_t expected_version) {
  const ApiAnswer answer =
      Call("DELETE", ObjectPath(key), {}, expected_version);
  if (answer.status != 200) return ErrorOf(answer, key, Errc::kStoreAnswerLost);
  return boost::outcome_v2::success();
}

Result<int64_t> RemoteStore::Watch(std::string_view prefix,
                                   int64_t after_revision,
                                   WatchCallback callback) {
  int64_t id = 0;
  {
    std::lock_guard lock(mu_);
    id = next_watch_id_++;
  }
  auto promise = std::make_shared<std::promise<ApiAnswer>>();
  auto future = promise->get_future();
  const std::string path = "/v1/watch?prefix=" + Encoded(prefix) +
                           "&after=" + std::to_string(after_revision);
  QMetaObject::invokeMethod(
      io_, [io = io_, promise, id, path, callback = std::move(callback)] {
        io->StartWatch(id, path, callback, [promise](ApiAnswer a) {
          promise->set_value(std::move(a));
        });
      });
  const ApiAnswer answer = future.get();
  if (answer.status != 200) {
    return ErrorOf(answer, prefix, Errc::kStoreUnavailable);
  }
  return id;
}

void RemoteStore::CancelWatch(int64_t watch_id) {
  QMetaObject::invokeMethod(
      io_, [io = io_, watch_id] { io->StopWatch(watch_id); },
      Qt::BlockingQueuedConnection);
}

}  // namespace turmeric::store
