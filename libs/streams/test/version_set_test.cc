#include "turmeric/streams/version_set.h"

#include <catch2/catch.hpp>

using namespace std::chrono_literals;  // NOLINT(google-build-using-namespace)
using turmeric::streams::StreamOrigin;
using turmeric::streams::VersionSet;

namespace {

const VersionSet::Clock::time_point kStart{100s};
const StreamOrigin kFirst{"llm", "v1"};
const StreamOrigin kSecond{"llm", "v2"};

}  // namespace

TEST_CASE("a version stays registered while its streams may be resumed") {
  VersionSet versions(60s);
  CHECK(versions.Add(kFirst, kStart));
  CHECK_FALSE(versions.Add(kFirst, kStart));
  versions.Add(kSecond, kStart + 10s);
  CHECK(versions.Of("llm").size() == 2);
  CHECK(versions.Of("other").empty());
  versions.OnListed(kSecond, kStart + 50s);
  CHECK(versions.DropUnlisted(kStart + 59s).empty());
  const auto dropped = versions.DropUnlisted(kStart + 60s);
  REQUIRE(dropped.size() == 1);
  CHECK(dropped.front() == kFirst);
  CHECK(versions.Contains(kSecond));
  CHECK_FALSE(versions.Contains(kFirst));
}

TEST_CASE("a listed version counts only once it is registered") {
  VersionSet versions(60s);
  versions.OnListed(kFirst, kStart);
  CHECK_FALSE(versions.Contains(kFirst));
  CHECK(versions.All().empty());
}
