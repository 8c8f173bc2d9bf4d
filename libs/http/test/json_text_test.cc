#include "turmeric/http/json_text.h"

#include <rapidcheck.h>

#include <QJsonDocument>
#include <QJsonObject>
#include <catch2/catch.hpp>
#include <string>

using turmeric::http::JsonWithText;

// Guards against texts that end their string or are changed on the way.
TEST_CASE("a text in JSON is read as it was written") {
  CHECK(rc::check([] {
    const auto letters =
        *rc::gen::container<std::string>(rc::gen::inRange<char>(1, 127));
    const std::string text = letters + *rc::gen::element<std::string>(
                                           "", "é\"\\", "\n\t\x1f", "日本");
    const QByteArray json = JsonWithText({{"stage", "encode"}}, "input", text);
    const QJsonObject read = QJsonDocument::fromJson(json).object();
    RC_ASSERT(read.size() == 2);
    RC_ASSERT(read["stage"].toString() == "encode");
    RC_ASSERT(read["input"].toString().toStdString() == text);
  }));
}
