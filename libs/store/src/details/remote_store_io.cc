#include "details/remote_store_io.h"

#include <QJsonDocument>
#include <QNetworkReply>
#include <QTimer>
#include <QUrl>
#include <utility>

#include "turmeric/http/one_shot_body.h"
#include "turmeric/store/object_codec.h"

namespace turmeric::store::details {

namespace {

constexpr int kStatusOk = 200;

int StatusOf(const QNetworkReply& reply) {
  return reply.attribute(QNetworkRequest::HttpStatusCodeAttribute).toInt();
}

}  // namespace

/** A watch that has been started and has not ended. */
struct RemoteStoreIo::OpenWatch {
  QNetworkReply* reply = nullptr;
  QTimer idle_timer;
  WatchCallback callback;
  AnswerHandler handler;  ///< Called once, then set to empty.
  QByteArray buffer;
};

RemoteStoreIo::RemoteStoreIo(const RemoteStoreOptions& options)
    : options_(options),
      call_network_(new QNetworkAccessManager(this)),
      watch_network_(new QNetworkAccessManager(this)) {}

QNetworkReply* RemoteStoreIo::Send(QNetworkAccessManager& network,
                                   const ApiCall& call) {
  QNetworkRequest request(
      QUrl(QString::fromStdString("http://" + options_.address + call.path)));
  request.setRawHeader(
      kIfVersionHeader,
      QByteArray::number(static_cast<qlonglong>(call.expected_version)));
  if (call.method != "PUT") {
    return network.sendCustomRequest(request, call.method);
  }
  // Guard: Qt retries a request automatically if the connection closes before
  // the answer. A body that cannot be rewound prevents the retry, so that a
  // lost answer is reported as lost.
  request.setHeader(QNetworkRequest::ContentLengthHeader, call.body.size());
  request.setHeader(QNetworkRequest::ContentTypeHeader, "text/plain");
  request.setAttribute(QNetworkRequest::DoNotBufferUploadDataAttribute, true);
  auto* body = new http::OneShotBody(call.body, nullptr);
  QNetworkReply* reply = network.put(request, body);
  body->setParent(reply);
  return reply;
}

void RemoteStoreIo::Start(const ApiCall& call, AnswerHandler handler) {
  QNetworkReply* reply = Send(*call_network_, call);
  open_calls_.insert(reply);
  QTimer::singleShot(options_.call_timeout, reply, &QNetworkReply::abort);
  connect(reply, &QNetworkReply::finished, this,
          [this, reply, handler = std::move(handler)] {
            open_calls_.erase(reply);
            ApiAnswer answer;
            // An error after a successful header means that the body was cut
            // short; the call then counts as unanswered.
            const int status = StatusOf(*reply);
            const auto error = reply->error();
            if (status >= 300 || error == QNetworkReply::NoError) {
              answer.status = status;
            }
            answer.not_sent = error == QNetworkReply::ConnectionRefusedError;
            if (reply->isOpen()) answer.body = reply->readAll();
            reply->deleteLater();
            handler(std::move(answer));
          });
}

void RemoteStoreIo::StartWatch(int64_t id, const std::string& path,
                               WatchCallback callback, AnswerHandler handler) {
  auto watch = std::make_unique<OpenWatch>();
  watch->callback = std::move(callback);
  watch->handler = std::move(handler);
  watch->reply = Send(*watch_network_, {"GET", path, {}, kAnyVersion});
  connect(watch->reply, &QNetworkReply::readyRead, this,
          [this, id] { ReadWatch(id); });
  connect(watch->reply, &QNetworkReply::finished, this, [this, id] {
    ReadWatch(id);
    auto it = watches_.find(id);
    if (it == watches_.end()) return;
    EndWatch(id, {StatusOf(*it->second->reply), {}, false});
  });
  // Guard: a connection can stop delivering data without a reset, and changes
  // would then be missed without an error. The platform sends a bookmark every
  // second, so a watch without data for `watch_idle_timeout` is broken.
  watch->idle_timer.setSingleShot(true);
  connect(&watch->idle_timer, &QTimer::timeout, this,
          [this, id] { EndWatch(id, {}); });
  watch->idle_timer.start(options_.watch_idle_timeout);
  watches_.emplace(id, std::move(watch));
}

void RemoteStoreIo::ReadWatch(int64_t id) {
  auto it = watches_.find(id);
  if (it == watches_.end()) return;
  OpenWatch& watch = *it->second;
  if (StatusOf(*watch.reply) != kStatusOk || !watch.reply->isOpen()) return;
  watch.idle_timer.start(options_.watch_idle_timeout);
  watch.buffer += watch.reply->readAll();
  qsizetype from = 0;
  for (qsizetype end = 0; (end = watch.buffer.indexOf('\n', from)) >= 0;
       from = end + 1) {
    const QByteArray line = watch.buffer.mid(from, end - from);
    const QJsonObject event = QJsonDocument::fromJson(line).object();
    if (!event.contains("bookmark")) {
      watch.callback(ObjectFromJson(event));
    } else if (auto started = std::exchange(watch.handler, nullptr)) {
      started({kStatusOk, {}, false});
    }
  }
  watch.buffer.remove(0, from);
}

void RemoteStoreIo::EndWatch(int64_t id, ApiAnswer answer) {
  auto node = watches_.extract(id);
  if (node.empty()) return;
  OpenWatch& watch = *node.mapped();
  watch.reply->disconnect(this);
  watch.reply->abort();
  watch.reply->deleteLater();
  if (watch.handler) {
    // The watch ended before its first bookmark, that is, before the replay
    // was complete.
    if (answer.status == kStatusOk) answer.status = 0;
    watch.handler(std::move(answer));
  } else {
    watch.callback(utils::Fail(utils::Errc::kStoreUnavailable, "watch broke"));
  }
}

void RemoteStoreIo::StopWatch(int64_t id) {
  auto node = watches_.extract(id);
  if (node.empty()) return;
  QNetworkReply* reply = node.mapped()->reply;
  reply->disconnect(this);
  reply->abort();
  reply->deleteLater();
}

void RemoteStoreIo::Close() {
  while (!watches_.empty()) EndWatch(watches_.begin()->first, {});
  while (!open_calls_.empty()) (*open_calls_.begin())->abort();
}

}  // namespace turmeric::store::details
