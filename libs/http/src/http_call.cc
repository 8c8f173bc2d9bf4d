#include "turmeric/http/http_call.h"

#include <QBuffer>
#include <QEventLoop>
#include <QNetworkAccessManager>
#include <QNetworkReply>

namespace turmeric::http {

HttpAnswer HttpCall(QNetworkAccessManager& network, const QByteArray& method,
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
  HttpAnswer answer;
  answer.status =
      reply->attribute(QNetworkRequest::HttpStatusCodeAttribute).toInt();
  answer.body = reply->readAll();
  answer.headers = reply->rawHeaderPairs();
  if (reply->error() != QNetworkReply::NoError && answer.status == 0) {
    answer.error = reply->errorString();
  }
  reply->deleteLater();
  return answer;
}

}  // namespace turmeric::http
