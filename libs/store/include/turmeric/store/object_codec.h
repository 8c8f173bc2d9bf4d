#pragma once

#include <QByteArray>
#include <QJsonObject>

#include "turmeric/store/object_store.h"

namespace turmeric::store {

/** @param object a live object or a tombstone. @return its JSON form. */
QJsonObject ObjectToJson(const StoredObject& object);
/** @param json from ObjectToJson. @return the object. */
StoredObject ObjectFromJson(const QJsonObject& json);

/** HTTP header of the platform's object API with the expected version of a
 * write. */
inline constexpr char kIfVersionHeader[] = "x-if-version";

}  // namespace turmeric::store
