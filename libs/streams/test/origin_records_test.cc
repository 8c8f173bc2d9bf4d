#include "turmeric/streams/origin_records.h"

#include <catch2/catch.hpp>
#include <string>

using namespace std::chrono_literals;  // NOLINT(google-build-using-namespace)
using turmeric::streams::OriginRecords;
using turmeric::streams::StreamId;
using turmeric::streams::StreamOrigin;

namespace {

const OriginRecords::Clock::time_point kStart{100s};
const StreamId kStream{"org", "attempt"};
const StreamOrigin kOrigin{"llm", "v1"};

}  // namespace

TEST_CASE("an origin is found by organisation and attempt, until it expires") {
  OriginRecords records(10, 60s);
  records.Put(kStream, kOrigin, kStart);
  CHECK(records.Find(kStream, kStart + 59s) == kOrigin);
  CHECK_FALSE(records.Find(kStream, kStart + 60s));
  CHECK_FALSE(records.Find({"other", "attempt"}, kStart));
  CHECK_FALSE(records.Find({"org", "other"}, kStart));
}

// A later record would lend the stream another version.
TEST_CASE("the first origin of a stream is kept") {
  OriginRecords records(10, 60s);
  records.Put(kStream, kOrigin, kStart);
  records.Put(kStream, {"llm", "v2"}, kStart + 1s);
  CHECK(records.Find(kStream, kStart + 2s) == kOrigin);
}

TEST_CASE("a burst of streams drops the oldest records only") {
  OriginRecords records(100, 60s);
  for (int i = 0; i < 1000; ++i) {
    records.Put({"org", std::to_string(i)}, kOrigin, kStart + i * 1ms);
  }
  CHECK(records.size() == 100);
  CHECK_FALSE(records.Find({"org", "899"}, kStart + 1s));
  CHECK(records.Find({"org", "900"}, kStart + 1s) == kOrigin);
  CHECK(records.OfService("llm", kStart + 1s).size() == 100);
  CHECK(records.OfService("other", kStart + 1s).empty());
}
