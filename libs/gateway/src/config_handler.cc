#include "turmeric/gateway/config_handler.h"

#include <easylogging++.h>

#include <QJsonArray>
#include <QJsonDocument>
#include <QJsonObject>
#include <memory>

#include "turmeric/config/settings_layer.h"
#include "turmeric/config/settings_tree.h"
#include "turmeric/gateway/answer_json.h"
#include "turmeric/gateway/store_service.h"
#include "turmeric/http/http_request.h"
#include "turmeric/http/router_server.h"

namespace turmeric::gateway {

using store::StoredObject;
using utils::Errc;

namespace {

constexpr int kStatusOk = 200;

std::string StoreKey(const http::HttpRequest& request) {
  const auto prefix = static_cast<qsizetype>(kConfigPath.size());
  return std::string(config::kConfigPrefix) +
         request.url().path().mid(prefix).toStdString();
}

QJsonObject ObjectJson(const StoredObject& o) {
  return {{"key", QString::fromStdString(o.key)},
          {"version", static_cast<double>(o.version)},
          {"revision", static_cast<double>(o.revision)}};
}

void WriteObject(http::Responder& responder, const QJsonObject& o) {
  http::WriteJson(responder, kStatusOk,
                  QJsonDocument(o).toJson(QJsonDocument::Compact));
}

void WriteError(http::Responder& responder, const utils::Error& error) {
  http::WriteJson(
      responder, utils::HttpStatus(error.code),
      ErrorJson("", error.code, error.detail, utils::RunState::kNotRun,
                utils::RetryAfterMs(error.code)),
      AnswerHeaders("", utils::RetryAfterMs(error.code)));
}

/**
 * @return true for a prefix, which ends in "/"; the key of a level does not.
 */
bool IsPrefix(const std::string& key) { return key.ends_with('/'); }

/**
 * Writes a level on condition that its version is `expected`. If the store's
 * answer is lost, reads the level back to find out whether the write was
 * applied.
 */
utils::Result<StoredObject> WriteLevel(store::ObjectStore& store,
                                       const std::string& key,
                                       const std::string& text,
                                       int64_t expected) {
  auto put = store.Put(key, text, expected);
  if (put || put.error().code != Errc::kStoreAnswerLost) return put;
  // Guard: the write may have been applied although its answer was lost. After
  // an "unavailable" error the operator would write again and get a conflict
  // with their own change.
  auto got = store.Get(key);
  if (got && got.value().value == text && got.value().version == expected + 1) {
    return got;
  }
  return put;
}

}  // namespace

void ConfigHandler::HandleGet(const http::HttpRequest& request,
                              http::Responder&& responder) {
  auto shared_responder =
      std::make_shared<http::Responder>(std::move(responder));
  const std::string key = StoreKey(request);
  if (IsPrefix(key)) {
    store_.executor().Run(
        this, [this, key] { return store_.store().List(key); },
        [shared_responder](const utils::Result<store::ObjectList>& list) {
          if (!list) return WriteError(*shared_responder, list.error());
          QJsonArray items;
          for (const StoredObject& o : list.value().objects) {
            items.append(ObjectJson(o));
          }
          WriteObject(*shared_responder, {{"items", items}});
        });
    return;
  }
  store_.executor().Run(
      this, [this, key] { return store_.store().Get(key); },
      [shared_responder](const utils::Result<StoredObject>& got) {
        if (!got) return WriteError(*shared_responder, got.error());
        QJsonObject o = ObjectJson(got.value());
        o["value"] = QString::fromStdString(got.value().value);
        WriteObject(*shared_responder, o);
      });
}

void ConfigHandler::HandleResolved(const http::HttpRequest& request,
                                   http::Responder&& responder) {
  const QStringList parts =
      request.url()
          .path()
          .mid(static_cast<qsizetype>(kResolvedPath.size()))
          .split('/');
  if (parts.size() != 3) {
    WriteError(responder, {Errc::kBadRequest,
                           "path must be /v1/resolved/<business>/<pipeline>/"
                           "<organisation>"});
    return;
  }
  auto resolved = tree_.Resolve(parts[0].toStdString(), parts[1].toStdString(),
                                parts[2].toStdString());
  if (!resolved) {
    WriteError(responder, resolved.error());
    return;
  }
  const config::ResolvedSettings& s = resolved.value();
  QJsonArray stages;
  for (const config::StageSpec& stage : s.stages) {
    stages.append(QJsonObject{{"stage", QString::fromStdString(stage.name)},
                              {"pool", QString::fromStdString(stage.pool)},
                              {"idempotent", stage.idempotent}});
  }
  WriteObject(responder, {{"deadline_ms", s.deadline_ms},
                          {"max_inflight", s.max_inflight},
                          {"routing", QString::fromStdString(s.routing)},
                          {"retry_budget_percent", s.retry_budget_percent},
                          {"hedge_percent", s.hedge_percent},
                          {"min_stage_ms", s.min_stage_ms},
                          {"stages", stages},
                          {"revision", static_cast<double>(s.revision)}});
}

void ConfigHandler::HandlePut(const http::HttpRequest& request,
                              http::Responder&& responder) {
  auto shared_responder =
      std::make_shared<http::Responder>(std::move(responder));
  bool versioned = false;
  const int64_t expected = request.value("if-match").toLongLong(&versioned);
  // Guard: concurrent operators. Without a version precondition the second
  // writer silently overwrites the first; with If-Match the second writer
  // receives config_version_conflict and can read the level again.
  if (!versioned || expected < 0) {
    WriteError(*shared_responder,
               {Errc::kConfigVersionConflict,
                "If-Match: <version> required (0 to create)"});
    return;
  }
  auto layer = config::ParseLayer(request.body().toStdString());
  if (!layer) {
    WriteError(*shared_responder, layer.error());
    return;
  }
  store_.executor().Run(
      this,
      [this, key = StoreKey(request), text = config::RenderLayer(layer.value()),
       expected] { return WriteLevel(store_.store(), key, text, expected); },
      [shared_responder](const utils::Result<StoredObject>& put) {
        if (!put) {
          utils::Error error = put.error();
          if (error.code == Errc::kStoreConflict) {
            error.code = Errc::kConfigVersionConflict;
          }
          WriteError(*shared_responder, error);
          return;
        }
        LOG(INFO) << "event=config_accepted key=" << put.value().key
                  << " version=" << put.value().version
                  << " revision=" << put.value().revision;
        WriteObject(*shared_responder, ObjectJson(put.value()));
      });
}

}  // namespace turmeric::gateway
