#include "turmeric/http/http_request.h"

#include <utility>

namespace turmeric::http {

namespace {

/** Precedes a target that has no host, which may begin with two slashes. */
constexpr const char* kAnyHost = "http://localhost";

QUrl UrlOf(const std::string& target) {
  const QByteArray bytes = QByteArray::fromStdString(target);
  return QUrl::fromEncoded(bytes.startsWith('/') ? kAnyHost + bytes : bytes);
}

}  // namespace

HttpRequest::HttpRequest(RequestMessage message)
    : message_(std::move(message)),
      url_(UrlOf(message_.target)),
      body_(QByteArray::fromStdString(std::exchange(message_.body, {}))) {}

QByteArray HttpRequest::value(std::string_view name) const {
  const std::string_view value = HeaderValue(message_.headers, name);
  return {value.data(), static_cast<qsizetype>(value.size())};
}

}  // namespace turmeric::http
