#include "turmeric/standins/platform_standin.h"

#include <QJsonArray>
#include <QJsonDocument>
#include <QJsonObject>
#include <QUrlQuery>
#include <algorithm>
#include <utility>

#include "turmeric/http/http_request.h"
#include "turmeric/store/object_codec.h"

namespace turmeric::standins {

using store::StoredObject;
using utils::Errc;

namespace {

constexpr int kBookmarkIntervalMs = 1000;
constexpr int kStatusOk = 200;

QByteArray JsonLine(const QJsonObject& o) {
  return QJsonDocument(o).toJson(QJsonDocument::Compact) + "\n";
}

std::string QueryParameter(const http::HttpRequest& request, const char* name) {
  return QUrlQuery(request.url())
      .queryItemValue(QString::fromLatin1(name), QUrl::FullyDecoded)
      .toStdString();
}

int HttpStatusOf(Errc code) {
  switch (code) {
    case Errc::kStoreNotFound:
      return 404;
    case Errc::kStoreConflict:
      return 409;
    case Errc::kStoreRevisionGone:
      return 410;
    case Errc::kBadRequest:
      return 400;
    default:
      return 503;
  }
}

void WriteError(http::Responder& responder, const utils::Error& error) {
  // Simulates a lost answer: the write has been applied, but the connection is
  // aborted.
  if (error.code == Errc::kStoreAnswerLost) {
    responder.Abort();
    return;
  }
  http::WriteJson(responder, HttpStatusOf(error.code), "{}");
}

}  // namespace

/** An open watch and the connection that receives its events. */
struct PlatformStandin::OpenWatch {
  std::shared_ptr<http::Responder> responder;
  int64_t id = 0;
  bool stream_started = false;
  QByteArray initial_lines;  ///< JSON lines buffered before the stream starts.
};

PlatformStandin::PlatformStandin(std::shared_ptr<store::MemoryStore> store)
    : store_(std::move(store)) {
  AddRoutes();
  connect(&bookmarks_, &QTimer::timeout, this, [this] { SendBookmarks(); });
  bookmarks_.start(kBookmarkIntervalMs);
}

PlatformStandin::~PlatformStandin() {
  for (const auto& w : watches_) store_->CancelWatch(w->id);
}

uint16_t PlatformStandin::Listen(uint16_t port) {
  return server_.Listen({"127.0.0.1", port});
}

void PlatformStandin::SetFaults(const PlatformFaults& faults) {
  const bool silence_ended = faults_.silent && !faults.silent;
  faults_ = faults;
  store_->SetFaults(faults.store);
  if (!silence_ended) return;
  // Events were dropped while the stand-in was silent. Each watch is aborted,
  // so that no client treats its stream as complete.
  unanswered_.clear();  // closes the connections
  for (const auto& w : std::exchange(watches_, {})) {
    store_->CancelWatch(w->id);
    w->responder->Abort();
  }
}

void PlatformStandin::AnswerDelayed(
    http::Responder&& responder, std::function<void(http::Responder&)> answer) {
  auto shared_responder =
      std::make_shared<http::Responder>(std::move(responder));
  if (faults_.silent) {
    unanswered_.push_back(std::move(shared_responder));
    return;
  }
  QTimer::singleShot(faults_.delay_ms, Qt::PreciseTimer, this,
                     [shared_responder, answer = std::move(answer)] {
                       answer(*shared_responder);
                     });
}

void PlatformStandin::AddRoutes() {
  server_.Route("GET", "/v1/objects", [this](const auto& r, auto&& w) {
    AnswerDelayed(std::move(w),
                  [this, key = QueryParameter(r, "key")](http::Responder& out) {
                    auto got = store_->Get(key);
                    if (!got) return WriteError(out, got.error());
                    http::WriteJson(out, kStatusOk,
                                    JsonLine(store::ObjectToJson(got.value())));
                  });
  });
  server_.Route("PUT", "/v1/objects", [this](const auto& r, auto&& w) {
    const int64_t expected = r.value(store::kIfVersionHeader).toLongLong();
    AnswerDelayed(
        std::move(w), [this, key = QueryParameter(r, "key"), expected,
                       value = r.body().toStdString()](http::Responder& out) {
          auto put = store_->Put(key, value, expected);
          if (!put) return WriteError(out, put.error());
          StoredObject head = put.value();
          head.value.clear();
          http::WriteJson(out, kStatusOk, JsonLine(store::ObjectToJson(head)));
        });
  });
  server_.Route("DELETE", "/v1/objects", [this](const auto& r, auto&& w) {
    const int64_t expected = r.value(store::kIfVersionHeader).toLongLong();
    AnswerDelayed(std::move(w), [this, key = QueryParameter(r, "key"),
                                 expected](http::Responder& out) {
      auto deleted = store_->Delete(key, expected);
      if (!deleted) return WriteError(out, deleted.error());
      http::WriteJson(out, kStatusOk, "{}");
    });
  });
  server_.Route("GET", "/v1/list", [this](const auto& r, auto&& w) {
    AnswerDelayed(std::move(w), [this, prefix = QueryParameter(r, "prefix")](
                                    http::Responder& out) {
      auto list = store_->List(prefix);
      if (!list) return WriteError(out, list.error());
      QJsonArray items;
      for (const StoredObject& o : list.value().objects) {
        items.append(store::ObjectToJson(o));
      }
      http::WriteJson(
          out, kStatusOk,
          JsonLine({{"items", items},
                    {"revision", static_cast<double>(list.value().revision)}}));
    });
  });
  server_.Route("GET", "/v1/watch",
                [this](const auto& r, auto&& w) { Watch(r, std::move(w)); });
  server_.Route("POST", "/admin/faults", [this](const auto& r, auto&& w) {
    const QJsonObject o = QJsonDocument::fromJson(r.body()).object();
    PlatformFaults faults;
    faults.store.outage = o.value("outage").toBool();
    faults.store.lose_answer_rate = o.value("lose_answer_rate").toDouble();
    faults.store.seed = static_cast<uint64_t>(o.value("seed").toDouble(1));
    faults.delay_ms = o.value("delay_ms").toInt(faults.delay_ms);
    faults.silent = o.value("silent").toBool();
    SetFaults(faults);
    http::WriteJson(w, kStatusOk, "{}");
  });
  server_.Route("POST", "/admin/compact", [this](const auto&, auto&& w) {
    store_->Compact();
    http::WriteJson(w, kStatusOk, "{}");
  });
  server_.Route("GET", "/admin/counts", [this](const auto&, auto&& w) {
    const store::StoreCallCounts c = store_->counts();
    http::WriteJson(w, kStatusOk,
                    JsonLine({{"reads", static_cast<double>(c.reads)},
                              {"writes", static_cast<double>(c.writes)},
                              {"watches", static_cast<double>(c.watches)}}));
  });
}

void PlatformStandin::Watch(const http::HttpRequest& request,
                            http::Responder&& responder) {
  auto watch = std::make_shared<OpenWatch>();
  watch->responder = std::make_shared<http::Responder>(std::move(responder));
  if (faults_.silent) {
    unanswered_.push_back(watch->responder);
    return;
  }
  auto deliver = [this, watch](const utils::Result<StoredObject>& event) {
    if (!event) {
      watch->responder->Abort();
      std::erase(watches_, watch);
      return;
    }
    const QByteArray line = JsonLine(store::ObjectToJson(event.value()));
    if (!watch->stream_started) {
      watch->initial_lines += line;
    } else if (!faults_.silent) {
      watch->responder->WriteChunk(line);
    }
  };
  // The store runs the callback on the thread of the writer; the connection
  // belongs to the thread of this object.
  auto on_event = [this, deliver](const utils::Result<StoredObject>& event) {
    QMetaObject::invokeMethod(this, [deliver, event] { deliver(event); });
  };
  auto id = store_->Watch(
      QueryParameter(request, "prefix"),
      QString::fromStdString(QueryParameter(request, "after")).toLongLong(),
      on_event);
  if (!id) return WriteError(*watch->responder, id.error());
  watch->id = id.value();
  watch->stream_started = true;
  watch->responder->StartStream("application/x-ndjson");
  watch->responder->WriteChunk(
      watch->initial_lines +
      JsonLine({{"bookmark", static_cast<double>(store_->revision())}}));
  watch->initial_lines.clear();
  watch->responder->OnDisconnected([this, watch] {
    store_->CancelWatch(watch->id);
    std::erase(watches_, watch);
  });
  watches_.push_back(watch);
}

void PlatformStandin::SendBookmarks() {
  if (faults_.silent) return;
  const QByteArray line =
      JsonLine({{"bookmark", static_cast<double>(store_->revision())}});
  std::ranges::for_each(watches_,
                        [&](const auto& w) { w->responder->WriteChunk(line); });
}

}  // namespace turmeric::standins
