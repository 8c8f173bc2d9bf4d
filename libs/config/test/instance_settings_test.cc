#include "turmeric/config/instance_settings.h"

#include <catch2/catch.hpp>
#include <cstdio>
#include <fstream>

using turmeric::config::LoadInstanceSettings;
using turmeric::utils::Errc;

namespace {
std::string WriteIniFile(const std::string& body) {
  const std::string path =
      "/tmp/turmeric_ini_test_" + std::to_string(std::rand()) + ".ini";
  std::ofstream(path) << body;
  return path;
}
}  // namespace

TEST_CASE("instance INI files are checked on load") {
  // An operator misspells "listen_port". If the unknown key were ignored, the
  // daemon would listen on the default port; loading must fail and name the
  // key.
  auto typo =
      LoadInstanceSettings(WriteIniFile("[instance]\nlisten_prot=8081\n"));
  REQUIRE_FALSE(typo);
  CHECK(typo.error().code == Errc::kIniInvalid);
  CHECK(typo.error().detail.find("listen_prot") != std::string::npos);
  auto port =
      LoadInstanceSettings(WriteIniFile("[instance]\nlisten_port=99999\n"));
  REQUIRE_FALSE(port);
  CHECK(port.error().code == Errc::kIniInvalid);
  CHECK(LoadInstanceSettings("/nonexistent.ini").error().code ==
        Errc::kIniMissing);
  auto ok = LoadInstanceSettings(
      WriteIniFile("[instance]\nname=e2\nzone=cairo-b\nlisten_port=8082\n"));
  REQUIRE(ok);
  CHECK(ok.value().zone == "cairo-b");
  CHECK(ok.value().listen_port == 8082);
}
