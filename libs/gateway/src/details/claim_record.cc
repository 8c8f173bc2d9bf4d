#include "details/claim_record.h"

#include <QJsonDocument>
#include <QJsonObject>

namespace turmeric::gateway::details {

std::string EncodeClaim(const ClaimRecord& r) {
  QJsonObject o{{"state", QString::fromStdString(r.state)},
                {"token", QString::fromStdString(r.token)},
                {"instance", QString::fromStdString(r.instance)},
                {"expires_unix_ms", double(r.expires_unix_ms)},
                {"result", QString::fromStdString(r.result)}};
  return QJsonDocument(o).toJson(QJsonDocument::Compact).toStdString();
}

ClaimRecord DecodeClaim(std::string_view text) {
  const auto o =
      QJsonDocument::fromJson(QByteArray(text.data(), text.size())).object();
  return {o.value("state").toString().toStdString(),
          o.value("token").toString().toStdString(),
          o.value("instance").toString().toStdString(),
          static_cast<int64_t>(o.value("expires_unix_ms").toDouble()),
          o.value("result").toString().toStdString()};
}

}  // namespace turmeric::gateway::details
