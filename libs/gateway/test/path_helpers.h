#pragma once

#include <QEventLoop>
#include <QJsonDocument>
#include <QJsonObject>
#include <QTimer>
#include <string>

#include "turmeric/gateway/embedded_platform.h"
#include "turmeric/gateway/embedded_stack.h"
#include "turmeric/http/http_call.h"
#include "turmeric/standins/service_standin.h"

/** Helpers shared by the end-to-end tests. */
namespace turmeric::gateway::testing {

/** @return the JSON body of a run request. */
inline QByteArray Body(const char* organisation, const char* input,
                       bool idempotent = true, int max_tokens = 4) {
  QJsonObject o{{"organisation", organisation},
                {"input", input},
                {"max_tokens", max_tokens}};
  if (!idempotent) o["idempotent"] = false;
  return QJsonDocument(o).toJson(QJsonDocument::Compact);
}

/** @return the JSON body of an answer. */
inline QJsonObject Json(const http::HttpResponse& a) {
  return QJsonDocument::fromJson(a.body).object();
}

/** @return the URL that runs a pipeline on one instance. */
inline QString RunUrl(const EmbeddedStack& s, int instance,
                      const char* business, const char* pipeline) {
  return s.Url(instance) + "/v1/pipelines/" + business + "/" + pipeline +
         ":run";
}

/**
 * @return number of executions of idempotency key `key` by the stand-in
 *     services.
 */
inline int Executions(const EmbeddedStack& stack, const std::string& key) {
  int n = 0;
  for (const auto& s : stack.embedded->services()) n += s->executions(key);
  return n;
}

/**
 * Runs the event loop for a fixed time.
 * @param ms time in ms.
 */
inline void Wait(int ms) {
  QEventLoop loop;
  QTimer::singleShot(ms, &loop, &QEventLoop::quit);
  loop.exec();
}

}  // namespace turmeric::gateway::testing
