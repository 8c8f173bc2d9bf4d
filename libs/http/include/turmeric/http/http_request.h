#pragma once

#include <QByteArray>
#include <QUrl>
#include <string_view>

#include "turmeric/http/message.h"

namespace turmeric::http {

/** A complete request, in the types of Qt. */
class HttpRequest {
 public:
  /** @param message the request. */
  explicit HttpRequest(RequestMessage message);

  /** @return the method, as sent. */
  std::string_view method() const { return message_.method; }
  /** @return path and query. */
  const QUrl& url() const { return url_; }
  /** @return the body. */
  const QByteArray& body() const { return body_; }
  /** @param name a field name, any case. @return value of the first field with
   * that name, empty if there is none. */
  QByteArray value(std::string_view name) const;

 private:
  RequestMessage message_;  ///< Without its body.
  QUrl url_;
  QByteArray body_;
};

}  // namespace turmeric::http
