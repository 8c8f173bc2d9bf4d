#pragma once

#include <QAbstractHttpServer>
#include <QHttpServerRequest>
#include <functional>
#include <string>
#include <vector>

#include "turmeric/http/responder.h"

namespace turmeric::http {

/** Handles one request; may keep the responder and respond later. */
using Handler = std::function<void(const QHttpServerRequest&, Responder&&)>;

/**
 * HTTP server on Qt's QAbstractHttpServer that routes requests by method and
 * path prefix. The responder is moved into the handler, which may respond
 * asynchronously.
 */
class RouterServer : public QAbstractHttpServer {
 public:
  RouterServer() = default;
  /**
   * @param method the HTTP method.
   * @param prefix path prefix; the longest matching prefix wins.
   * @param handler the handler.
   */
  void Route(QHttpServerRequest::Method method, std::string prefix,
             Handler handler);

 protected:
  bool handleRequest(const QHttpServerRequest& request,
                     QTcpSocket* socket) override;
  void missingHandler(const QHttpServerRequest& request,
                      QTcpSocket* socket) override;

 private:
  struct Entry {
    QHttpServerRequest::Method method;
    std::string prefix;
    Handler handler;
  };
  std::vector<Entry> routes_;
};

/**
 * Writes a complete JSON response.
 * @param responder the responder.
 * @param status HTTP status code.
 * @param body JSON body.
 * @param headers additional headers.
 */
void WriteJson(Responder& responder, int status, const QByteArray& body,
               const Headers& headers = {});

}  // namespace turmeric::http
