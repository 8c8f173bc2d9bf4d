#include "turmeric/http/json_text.h"

#include <QJsonDocument>
#include <algorithm>

namespace turmeric::http {

namespace {

constexpr unsigned char kFirstPrintable = 0x20;

bool NeedsEscape(char c) {
  return c == '"' || c == '\\' ||
         static_cast<unsigned char>(c) < kFirstPrintable;
}

void AppendEscaped(QByteArray& json, char c) {
  constexpr std::string_view kHex = "0123456789abcdef";
  constexpr unsigned kHexBits = 4;
  json += '\\';
  if (c == '"' || c == '\\') {
    json += c;
    return;
  }
  const auto code = static_cast<unsigned char>(c);
  json += "u00";
  json += kHex[code >> kHexBits];
  json += kHex[code % kHex.size()];
}

void AppendString(QByteArray& json, std::string_view text) {
  json += '"';
  while (!text.empty()) {
    const auto plain = static_cast<size_t>(
        std::ranges::find_if(text, NeedsEscape) - text.begin());
    json.append(text.data(), static_cast<qsizetype>(plain));
    text.remove_prefix(plain);
    if (text.empty()) break;
    AppendEscaped(json, text.front());
    text.remove_prefix(1);
  }
  json += '"';
}

}  // namespace

QByteArray JsonWithText(const QJsonObject& fields, std::string_view name,
                        std::string_view text) {
  const QByteArray others =
      QJsonDocument(fields).toJson(QJsonDocument::Compact);
  constexpr size_t kPunctuation = 6;
  QByteArray json;
  json.reserve(others.size() + static_cast<qsizetype>(
                                   name.size() + text.size() + kPunctuation));
  json.append(others.constData(), others.size() - 1);
  json += ',';
  AppendString(json, name);
  json += ':';
  AppendString(json, text);
  json += '}';
  return json;
}

}  // namespace turmeric::http
