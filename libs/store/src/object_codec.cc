#include "turmeric/store/object_codec.h"

namespace turmeric::store {

QJsonObject ObjectToJson(const StoredObject& object) {
  QJsonObject json{{"key", QString::fromStdString(object.key)},
                   {"version", static_cast<double>(object.version)},
                   {"revision", static_cast<double>(object.revision)}};
  if (object.deleted) {
    json["deleted"] = true;
  } else {
    json["value"] = QString::fromStdString(object.value);
  }
  return json;
}

StoredObject ObjectFromJson(const QJsonObject& json) {
  return {json.value("key").toString().toStdString(),
          json.value("value").toString().toStdString(),
          static_cast<int64_t>(json.value("version").toDouble()),
          static_cast<int64_t>(json.value("revision").toDouble()),
          json.value("deleted").toBool()};
}

}  // namespace turmeric::store
