#include "turmeric/http/router_server.h"

#include <algorithm>

namespace turmeric::http {

void RouterServer::Route(QHttpServerRequest::Method method, std::string prefix,
                         Handler handler) {
  routes_.push_back({method, std::move(prefix), std::move(handler)});
  std::ranges::stable_sort(routes_, [](const Entry& a, const Entry& b) {
    return a.prefix.size() > b.prefix.size();
  });
}

bool RouterServer::handleRequest(const QHttpServerRequest& request,
                                 QTcpSocket* socket) {
  const std::string path = request.url().path().toStdString();
  auto it = std::ranges::find_if(routes_, [&](const Entry& e) {
    return e.method == request.method() && path.starts_with(e.prefix);
  });
  if (it == routes_.end()) return false;
  it->handler(request, makeResponder(request, socket));
  return true;
}

void RouterServer::missingHandler(const QHttpServerRequest& request,
                                  QTcpSocket* socket) {
  auto responder = makeResponder(request, socket);
  WriteJson(responder, 404,
            R"({"code":1001,"error":"bad_request","detail":"no such route"})");
}

void WriteJson(QHttpServerResponder& responder, int status,
               const QByteArray& body,
               const std::vector<std::pair<QByteArray, QByteArray>>& headers) {
  responder.writeStatusLine(
      static_cast<QHttpServerResponder::StatusCode>(status));
  responder.writeHeader("Content-Type", "application/json");
  responder.writeHeader("Content-Length", QByteArray::number(body.size()));
  for (const auto& [k, v] : headers) responder.writeHeader(k, v);
  responder.writeBody(body);
}

}  // namespace turmeric::http
