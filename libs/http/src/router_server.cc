#include "turmeric/http/router_server.h"

#include <QHttpServerResponder>
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
  it->handler(request, Responder(makeResponder(request, socket), socket));
  return true;
}

void RouterServer::missingHandler(const QHttpServerRequest& request,
                                  QTcpSocket* socket) {
  Responder responder(makeResponder(request, socket), socket);
  WriteJson(responder, 404,
            R"({"code":1001,"error":"bad_request","detail":"no such route"})");
}

void WriteJson(Responder& responder, int status, const QByteArray& body,
               const Headers& headers) {
  responder.WriteResponse(status, "application/json", body, headers);
}

}  // namespace turmeric::http
