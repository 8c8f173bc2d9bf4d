#pragma once

#include <QByteArray>
#include <QList>
#include <QPair>
#include <QString>

class QNetworkAccessManager;

namespace turmeric::http {

/** A finished HTTP exchange. */
struct HttpAnswer {
  int status = 0;  ///< HTTP status, 0 if none arrived.
  QByteArray body;
  QString error;  ///< Transport error text, empty if none.
  QList<QPair<QByteArray, QByteArray>> headers;
};

/**
 * Sends one request and waits for the whole answer (runs a local loop).
 * @param network the manager.
 * @param method "GET", "PUT" or "POST".
 * @param url full URL.
 * @param body request body.
 * @param headers extra headers.
 * @param timeout_ms transfer timeout.
 * @return the answer.
 */
HttpAnswer HttpCall(QNetworkAccessManager& network, const QByteArray& method,
                    const QString& url, const QByteArray& body = {},
                    const QList<QPair<QByteArray, QByteArray>>& headers = {},
                    int timeout_ms = 10000);

}  // namespace turmeric::http
