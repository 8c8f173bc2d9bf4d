#include "turmeric/http/http_call.h"

#include <QBuffer>
#include <QEventLoop>
#include <QNetworkAccessManager>
#include <QNetworkReply>

namespace turmeric::http {

HttpResponse HttpCall(QNetworkAccessManager& network, const QByteArray& method,
                      const QString& url, const QByteArray& body,
                      const QList<QPair<QByteArray, QByteArray>>& headers,
                      int timeout_ms) {
  QNetworkRequest request{QUrl(url)};
  request.setTransferTimeout(timeout_ms);
  request.setHeader(QNetworkRequest::ContentTypeHeader, "application/json");
  for (const auto& [k, v] : headers) request.setRawHeader(k, v);
  QBuffer buffer;
  buffer.setData(body);
  QNetworkReply* reply = network.sendCustomRequest(request, method, &buffer);
  QEventLoop loop;
  QObject::connect(reply, &QNetworkReply::finished, &loop, &QEventLoop::quit);
  loop.exec();
  HttpResponse response;
  response.status =
      reply->attribute(QNetworkRequest::HttpStatusCodeAttribute).toInt();
  response.body = reply->readAll();
  response.headers = reply->rawHeaderPairs();
  if (reply->error() != QNetworkReply::NoError && response.status == 0) {
    response.error = reply->errorString();
  }
  reply->deleteLater();
  return response;
}

}  // namespace turmeric::http
