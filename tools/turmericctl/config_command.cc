#include "config_command.h"

#include <gflags/gflags.h>

#include <QFile>
#include <QJsonDocument>
#include <QJsonObject>
#include <QNetworkAccessManager>
#include <iostream>

#include "turmeric/config/settings_layer.h"
#include "turmeric/http/http_call.h"

DECLARE_string(file);
DECLARE_int64(if_version);
DECLARE_string(business);
DECLARE_string(pipeline);
DECLARE_string(organisation);
DECLARE_string(input);
DECLARE_string(idempotency_key);
DECLARE_int32(deadline_ms);

namespace turmeric::ctl {

namespace {

QByteArray ReadInput() {
  QFile f;
  if (FLAGS_file.empty() || FLAGS_file == "-") {
    if (!f.open(stdin, QIODevice::ReadOnly)) return {};
  } else {
    f.setFileName(QString::fromStdString(FLAGS_file));
    if (!f.open(QIODevice::ReadOnly)) return {};
  }
  return f.readAll();
}

int Print(const http::HttpResponse& a) {
  if (!a.error.isEmpty()) {
    std::cerr << "error: " << a.error.toStdString() << "\n";
    return 1;
  }
  std::cout << a.body.toStdString() << "\n";
  return a.status >= 200 && a.status < 300 ? 0 : 1;
}

}  // namespace

int RunConfigCommand(const std::string& target,
                     const std::vector<std::string>& args) {
  if (args.empty()) {
    std::cerr << "usage: turmericctl config get|list|set|diff KEY | resolved "
                 "BUSINESS/PIPELINE/ORGANISATION\n";
    return 2;
  }
  QNetworkAccessManager network;
  const QString base = QString::fromStdString(target) + "/v1/config/";
  const std::string& verb = args[0];
  const QString key =
      args.size() > 1 ? QString::fromStdString(args[1]) : QString();
  if (verb == "list") return Print(http::HttpCall(network, "GET", base + key));
  if (key.isEmpty()) {
    std::cerr << "usage: turmericctl config " << verb
              << " KEY (e.g. business/nilelight)\n";
    return 2;
  }
  if (verb == "resolved") {
    return Print(
        http::HttpCall(network, "GET",
                       QString::fromStdString(target) + "/v1/resolved/" + key));
  }
  if (verb == "get") return Print(http::HttpCall(network, "GET", base + key));
  if (verb == "set") {
    if (FLAGS_if_version < 0) {
      std::cerr << "config set needs --if_version (0 to create; the version "
                   "`config get` showed to update)\n";
      return 2;
    }
    return Print(http::HttpCall(
        network, "PUT", base + key, ReadInput(),
        {{"If-Match",
          QByteArray::number(static_cast<qlonglong>(FLAGS_if_version))}}));
  }
  if (verb == "diff") {
    const http::HttpResponse current =
        http::HttpCall(network, "GET", base + key);
    const std::string stored = QJsonDocument::fromJson(current.body)
                                   .object()
                                   .value("value")
                                   .toString()
                                   .toStdString();
    auto proposed = config::ParseLayer(ReadInput().toStdString());
    if (!proposed) {
      std::cerr << "error " << static_cast<int>(proposed.error().code) << ": "
                << proposed.error().detail << "\n";
      return 1;
    }
    auto stored_layer = config::ParseLayer(stored);
    const auto& before = stored_layer ? stored_layer.value().entries
                                      : decltype(proposed.value().entries){};
    const auto& after = proposed.value().entries;
    for (const auto& e : before) {
      if (std::ranges::find(after, e) == after.end()) {
        std::cout << "- " << e.first << " = " << e.second << "\n";
      }
    }
    for (const auto& e : after) {
      if (std::ranges::find(before, e) == before.end()) {
        std::cout << "+ " << e.first << " = " << e.second << "\n";
      }
    }
    return 0;
  }
  std::cerr << "unknown config verb " << verb << "\n";
  return 2;
}

int RunPipelineCommand(const std::string& target) {
  QNetworkAccessManager network;
  QJsonObject body{{"organisation", QString::fromStdString(FLAGS_organisation)},
                   {"input", QString::fromStdString(FLAGS_input)},
                   {"deadline_ms", FLAGS_deadline_ms}};
  QList<QPair<QByteArray, QByteArray>> headers;
  if (!FLAGS_idempotency_key.empty()) {
    body["idempotent"] = false;
    headers.append(
        {"Idempotency-Key", QByteArray::fromStdString(FLAGS_idempotency_key)});
  }
  const QString url =
      QString::fromStdString(target + "/v1/pipelines/" + FLAGS_business + "/" +
                             FLAGS_pipeline + ":run");
  const http::HttpResponse a = http::HttpCall(
      network, "POST", url, QJsonDocument(body).toJson(QJsonDocument::Compact),
      headers);
  Print(a);
  return QJsonDocument::fromJson(a.body).object().value("state").toString() ==
                 "ran"
             ? 0
             : 1;
}

}  // namespace turmeric::ctl
