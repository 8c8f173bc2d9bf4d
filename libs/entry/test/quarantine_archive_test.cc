#include "turmeric/entry/quarantine_archive.h"

#include <QEventLoop>
#include <catch2/catch.hpp>
#include <utility>
#include <vector>

#include "turmeric/quarantine/stored_crashes.h"

using namespace std::chrono_literals;  // NOLINT(google-build-using-namespace)
using turmeric::entry::QuarantineArchive;
using turmeric::quarantine::Clock;
using turmeric::quarantine::ClockReading;
using turmeric::quarantine::Crash;
using turmeric::quarantine::EncodeCrashes;
using turmeric::store::ObjectSource;
using turmeric::store::SourceBatch;
using turmeric::store::SourceCallback;
using turmeric::store::SourceObject;
using turmeric::utils::Errc;
using turmeric::utils::Error;

namespace {

/** A store that answers at once and rejects its first `refusals` writes. */
class CountingSource : public ObjectSource {
 public:
  void List(const std::string&, Freshness freshness,
            SourceCallback done) override {
    lists.push_back(freshness);
    if (list_refusals-- > 0) {
      return done(
          boost::outcome_v2::failure(Error{Errc::kStoreUnavailable, "away"}));
    }
    done(SourceBatch{.objects = objects, .revision = 5});
  }
  void Watch(const std::string&, int64_t, std::chrono::milliseconds,
             SourceCallback) override {}
  void Put(const std::string&, const std::string& name, const QJsonObject& spec,
           SourceCallback done) override {
    puts.emplace_back(name, spec);
    if (refusals-- > 0) {
      return done(
          boost::outcome_v2::failure(Error{Errc::kStoreUnavailable, "away"}));
    }
    done(SourceBatch{});
  }

  std::vector<SourceObject> objects;
  std::vector<Freshness> lists;
  std::vector<std::pair<std::string, QJsonObject>> puts;
  int refusals = 0;
  int list_refusals = 0;
};

std::vector<Crash> OneCrash() {
  return {{.fingerprint = "w",
           .service = "llm",
           .upstream = "i-1",
           .at = Clock::now(),
           .progressed = false}};
}

void Wait(std::chrono::milliseconds time) {
  QEventLoop loop;
  QTimer::singleShot(time, &loop, &QEventLoop::quit);
  loop.exec();
}

}  // namespace

TEST_CASE(
    "stale reads suffice for the quarantine, unreadable objects are left out") {
  CountingSource source;
  source.objects = {
      {.name = "w", .spec = EncodeCrashes(OneCrash(), ClockReading::Now())},
      {.name = "x", .spec = {{"crashes", "many"}}}};
  std::vector<Crash> read;
  QuarantineArchive archive(source, "quarantine", [&](auto crashes) {
    read.assign(crashes.begin(), crashes.end());
  });
  archive.Start();
  REQUIRE(source.lists == std::vector{ObjectSource::Freshness::kMayBeStale});
  REQUIRE(read.size() == 1);
  REQUIRE(read[0].fingerprint == "w");
}

// Guards against an instance that starts without the quarantines of a fleet
// that was killed, because the store was away or answered with an old copy.
TEST_CASE("the first reads are repeated until one succeeds, then once more") {
  CountingSource source;
  source.list_refusals = 1;
  QuarantineArchive archive(source, "quarantine", [](auto) {});
  archive.Start();
  REQUIRE(source.lists.size() == 1);
  Wait(1200ms);
  REQUIRE(source.lists.size() == 2);
  Wait(2500ms);
  REQUIRE(source.lists.size() == 3);
}

// Guards against one call to the store per crash.
TEST_CASE("a series of crashes reads the store once per second") {
  CountingSource source;
  QuarantineArchive archive(source, "quarantine", [](auto) {});
  for (int i = 0; i < 10; ++i) archive.ReadRateLimited();
  REQUIRE(source.lists.size() == 1);
  // A later read follows, which includes writes since the first one.
  Wait(1200ms);
  REQUIRE(source.lists.size() == 2);
  Wait(1200ms);
  REQUIRE(source.lists.size() == 2);
}

// Guards against a quarantine that is lost because the store was unreachable.
TEST_CASE("a rejected write is retried with growing backoff") {
  CountingSource source;
  source.refusals = 2;
  QuarantineArchive archive(source, "quarantine", [](auto) {});
  archive.Write("w", OneCrash());
  REQUIRE(source.puts.size() == 1);
  Wait(1200ms);
  REQUIRE(source.puts.size() == 2);
  Wait(2000ms);
  REQUIRE(source.puts.size() == 3);
  REQUIRE(source.puts[2].first == "w");
  Wait(2500ms);
  REQUIRE(source.puts.size() == 3);
}
