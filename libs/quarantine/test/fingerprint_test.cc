#include "turmeric/quarantine/fingerprint.h"

#include <catch2/catch.hpp>

using turmeric::quarantine::Fingerprint;
using turmeric::quarantine::RequestContent;

namespace {

constexpr RequestContent kContent{.caller = "org",
                                  .method = "POST",
                                  .host = "h.test",
                                  .target = "/notes/1",
                                  .body = "text"};

}  // namespace

TEST_CASE("equal content has equal fingerprints") {
  REQUIRE(Fingerprint(kContent) == Fingerprint(kContent));
  REQUIRE(Fingerprint(kContent).size() == 16);
}

TEST_CASE("any part of the content changes the fingerprint") {
  const auto changed = [](auto change) {
    RequestContent content = kContent;
    change(content);
    return Fingerprint(content) != Fingerprint(kContent);
  };
  REQUIRE(changed([](RequestContent& c) { c.caller = "other"; }));
  REQUIRE(changed([](RequestContent& c) { c.method = "PUT"; }));
  REQUIRE(changed([](RequestContent& c) { c.host = "i.test"; }));
  REQUIRE(changed([](RequestContent& c) { c.target = "/notes/2"; }));
  REQUIRE(changed([](RequestContent& c) { c.body = ""; }));
}

TEST_CASE("text moved from one part to the next changes the fingerprint") {
  RequestContent content = kContent;
  content.target = "/notes/1t";
  content.body = "ext";
  REQUIRE(Fingerprint(content) != Fingerprint(kContent));
}
