#pragma once

#include <QByteArray>
#include <QJsonObject>
#include <string_view>

namespace turmeric::http {

/**
 * Writes an object with one long text. QJsonDocument takes up to eight times
 * the text for it, in UTF-16 and in copies; this function writes it at once.
 * @param fields the other fields, at least one.
 * @param name of the text's field; plain ASCII.
 * @param text valid UTF-8.
 * @return the compact JSON object.
 */
QByteArray JsonWithText(const QJsonObject& fields, std::string_view name,
                        std::string_view text);

}  // namespace turmeric::http
