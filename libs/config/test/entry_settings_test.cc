#include "turmeric/config/entry_settings.h"

#include <QTemporaryFile>
#include <catch2/catch.hpp>
#include <string>

using namespace std::chrono_literals;  // NOLINT(google-build-using-namespace)
using turmeric::config::EntrySettings;
using turmeric::config::HasEntrySettings;
using turmeric::config::LoadEntrySettings;
using turmeric::config::Mechanism;
using turmeric::config::MechanismName;
using turmeric::config::ParseMechanism;
using turmeric::utils::Errc;
using turmeric::utils::Result;

namespace {

constexpr auto kGood =
    "[entry]\nname=entry-1\nzone=zone-a\nfront_address=\"10.0.0.1:80\"\n"
    "store_address=\"10.0.0.2:81\"\nstop_grace_ms=8000\nretry_ratio=0.2\n";

Result<EntrySettings> Load(const std::string& text) {
  QTemporaryFile file;
  REQUIRE(file.open());
  file.write(QByteArray::fromStdString(text));
  file.flush();
  return LoadEntrySettings(file.fileName().toStdString());
}

}  // namespace

TEST_CASE("entry settings are read") {
  const auto settings = Load(kGood);
  REQUIRE(settings);
  REQUIRE(settings.value().name == "entry-1");
  REQUIRE(settings.value().front_address == "10.0.0.1:80");
  REQUIRE(settings.value().stop_grace == 8000ms);
  REQUIRE(settings.value().retry_ratio == 0.2);
  REQUIRE_FALSE(settings.value().first_start);
  REQUIRE(Load(std::string(kGood) + "first_start=true\n").value().first_start);
}

// Guards against an instance that ignores the memory it is given.
TEST_CASE("the memory for buffers is read") {
  const auto settings =
      Load(std::string(kGood) + "memory_mb=160\nbuffer_share=0.25\n");
  REQUIRE(settings.value().memory_mb == 160);
  REQUIRE(settings.value().buffer_share == 0.25);
  REQUIRE(Load(kGood).value().memory_mb == 0);
  REQUIRE(Load(kGood).value().buffer_share == 0.2);
  REQUIRE_FALSE(Load(std::string(kGood) + "buffer_share=2\n"));
  REQUIRE(Load(kGood).value().request_share == 0.35);
  REQUIRE_FALSE(Load(std::string(kGood) + "request_share=2\n"));
  REQUIRE(Load(kGood).value().partial_share == 0.1);
  REQUIRE_FALSE(Load(std::string(kGood) + "partial_share=2\n"));
  REQUIRE(Load(kGood).value().connection_share == 0.1);
  REQUIRE_FALSE(Load(std::string(kGood) + "connection_share=2\n"));
}

TEST_CASE("an error names the key and the value") {
  const std::string good(kGood);
  const auto error_detail = [&](const std::string& line) {
    const auto settings = Load(good + line);
    REQUIRE_FALSE(settings);
    REQUIRE(settings.error().code == Errc::kIniInvalid);
    return settings.error().detail;
  };
  REQUIRE(error_detail("peer_address=nowhere\n") ==
          "peer_address=nowhere: want ip:port");
  REQUIRE(
      error_detail("lapsed_grace_ms=-1\n").starts_with("lapsed_grace_ms=-1"));
  REQUIRE(error_detail("retry_slack=many\n").starts_with("retry_slack=many"));
  REQUIRE(error_detail("first_start=yes\n") ==
          "first_start=yes: want true or false");
  REQUIRE(error_detail("no_such=1\n").find("no_such") != std::string::npos);
}

TEST_CASE("bounds of evacuations and of cold upstreams are read and checked") {
  const std::string good(kGood);
  const auto read = Load(good +
                         "evacuation_bound_ms=4000\ncold_over=2\n"
                         "cold_slack=3.5\n");
  REQUIRE(read);
  REQUIRE(read.value().evacuation_bound == 4000ms);
  REQUIRE(read.value().cold_over == 2);
  REQUIRE(read.value().cold_slack == 3.5);
  for (const auto* line : {"evacuation_bound_ms=soon", "cold_over=-1",
                           "cold_over=101", "cold_slack=x"}) {
    const auto wrong = Load(good + line + "\n");
    REQUIRE_FALSE(wrong);
    REQUIRE(wrong.error().code == Errc::kIniInvalid);
    REQUIRE(wrong.error().detail.starts_with(line));
  }
}

TEST_CASE("an error names a required key that is not set") {
  const auto settings = Load("[entry]\nname=entry-1\n");
  REQUIRE_FALSE(settings);
  REQUIRE(settings.error().detail.find("zone") != std::string::npos);
  REQUIRE(LoadEntrySettings("/nowhere.ini").error().code == Errc::kIniMissing);
  REQUIRE_FALSE(HasEntrySettings("/nowhere.ini"));
}

TEST_CASE("mechanisms are in use unless they are switched off by name") {
  const std::string good(kGood);
  const auto all = Load(good);
  REQUIRE(all.value().mechanisms.Uses(Mechanism::kBackingUp));
  const auto some = Load(good + "switched_off=\"backing_up ejection\"\n");
  REQUIRE(some);
  REQUIRE_FALSE(some.value().mechanisms.Uses(Mechanism::kBackingUp));
  REQUIRE_FALSE(some.value().mechanisms.Uses(Mechanism::kEjection));
  REQUIRE(some.value().mechanisms.Uses(Mechanism::kLateLast));
  const auto wrong = Load(good + "switched_off=\"backing_up luck\"\n");
  REQUIRE_FALSE(wrong);
  REQUIRE(wrong.error().detail.starts_with("switched_off=luck"));
}

TEST_CASE("each mechanism has one name") {
  for (size_t i = 0; i < turmeric::config::kMechanismCount; ++i) {
    const auto mechanism = static_cast<Mechanism>(i);
    REQUIRE(ParseMechanism(MechanismName(mechanism)) == mechanism);
  }
  REQUIRE_FALSE(ParseMechanism(""));
}
