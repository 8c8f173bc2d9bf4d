#pragma once

#include <QByteArray>
#include <QList>
#include <QPair>
#include <QString>

class QNetworkAccessManager;

namespace turmeric::http {

/** Result of a finished HTTP exchange. */
struct HttpResponse {
  int status = 0;  ///< HTTP status, 0 if none was received.
  QByteArray body;
  QString error;  ///< Transport error text, empty if none.
  QList<QPair<QByteArray, QByteArray>> headers;
};

/**
 * Sends one request and waits for the complete response in a local event loop.
 * @param network network manager that sends the request.
 * @param method "GET", "PUT" or "POST".
 * @param url full URL.
 * @param body request body.
 * @param headers additional headers.
 * @param timeout_ms transfer timeout, ms.
 * @return the response.
 */
HttpResponse HttpCall(QNetworkAccessManager& network, const QByteArray& method,
                      const QString& url, const QByteArray& body = {},
                      const QList<QPair<QByteArray, QByteArray>>& headers = {},
                      int timeout_ms = 10000);

}  // namespace turmeric::http
