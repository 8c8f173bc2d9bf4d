#include "turmeric/config/instance_settings.h"

#include <QFileInfo>
#include <QSettings>
#include <QStringList>
#include <regex>
#include <set>

namespace turmeric::config {

using utils::Errc;
using utils::Fail;

namespace {

const std::set<std::string> kKnownKeys = {"instance/name",
                                          "instance/zone",
                                          "instance/listen_address",
                                          "instance/listen_port",
                                          "instance/store",
                                          "instance/log_level",
                                          "instance/trace_path",
                                          "instance/drain_timeout_ms",
                                          "instance/drain_grace_ms",
                                          "instance/claim_retention_s",
                                          "instance/membership_port",
                                          "instance/memory_mb",
                                          "instance/max_body_mb",
                                          "instance/standin_base_port"};

constexpr size_t kBytesPerMb = 1024 * 1024;

utils::Result<int> ReadInt(const QSettings& ini, const char* key, int min,
                           int max, int fallback) {
  if (!ini.contains(key)) return fallback;
  bool ok = false;
  const QString text = ini.value(key).toString();
  const int v = text.toInt(&ok);
  if (!ok || v < min || v > max) {
    return Fail(Errc::kIniInvalid, std::string(key) + "=" + text.toStdString() +
                                       ": want an integer in [" +
                                       std::to_string(min) + ", " +
                                       std::to_string(max) + "]");
  }
  return v;
}

std::string ReadString(const QSettings& ini, const char* key,
                       const std::string& fallback) {
  return ini.value(key, QString::fromStdString(fallback))
      .toString()
      .toStdString();
}

}  // namespace

size_t InstanceSettings::max_body_bytes() const {
  return static_cast<size_t>(max_body_mb) * kBytesPerMb;
}

size_t InstanceSettings::request_bytes() const {
  constexpr size_t kRequestPart = 4;
  return static_cast<size_t>(memory_mb) * kBytesPerMb / kRequestPart;
}

size_t InstanceSettings::partial_bytes() const {
  constexpr size_t kPartialPart = 10;
  return static_cast<size_t>(memory_mb) * kBytesPerMb / kPartialPart;
}

size_t InstanceSettings::connection_bytes() const {
  constexpr size_t kConnectionPart = 10;
  return static_cast<size_t>(memory_mb) * kBytesPerMb / kConnectionPart;
}

utils::Result<InstanceSettings> LoadInstanceSettings(std::string_view path) {
  const QString file = QString::fromUtf8(path.data(), path.size());
  if (!QFileInfo::exists(file)) {
    return Fail(Errc::kIniMissing, "no settings file at " + std::string(path));
  }
  QSettings ini(file, QSettings::IniFormat);
  if (ini.status() != QSettings::NoError) {
    return Fail(Errc::kIniInvalid, "cannot parse " + std::string(path));
  }
  for (const QString& key : ini.allKeys()) {
    if (!kKnownKeys.contains(key.toStdString())) {
      return Fail(Errc::kIniInvalid, "unknown key " + key.toStdString());
    }
  }
  InstanceSettings s;
  s.name = ReadString(ini, "instance/name", s.name);
  s.zone = ReadString(ini, "instance/zone", s.zone);
  s.listen_address =
      ReadString(ini, "instance/listen_address", s.listen_address);
  s.store = ReadString(ini, "instance/store", s.store);
  s.log_level = ReadString(ini, "instance/log_level", s.log_level);
  s.trace_path = ReadString(ini, "instance/trace_path", s.trace_path);
  static const std::regex kStoreAddress(
      "embedded|[0-9]{1,3}(\\.[0-9]{1,3}){3}:[0-9]{1,5}");
  if (!std::regex_match(s.store, kStoreAddress)) {
    return Fail(Errc::kIniInvalid,
                "instance/store=" + s.store + ": want embedded or ip:port");
  }
  static const std::set<std::string> kLevels = {"debug", "info", "warning",
                                                "error"};
  if (!kLevels.contains(s.log_level)) {
    return Fail(Errc::kIniInvalid, "instance/log_level=" + s.log_level +
                                       ": want debug, info, "
                                       "warning or error");
  }
  if (s.name.empty() || s.zone.empty()) {
    return Fail(Errc::kIniInvalid,
                "instance/name and instance/zone must be set");
  }
  auto port = ReadInt(ini, "instance/listen_port", 1, 65535, s.listen_port);
  if (!port) return port.error();
  s.listen_port = static_cast<uint16_t>(port.value());
  auto base = ReadInt(ini, "instance/standin_base_port", 1024, 65000,
                      s.standin_base_port);
  if (!base) return base.error();
  s.standin_base_port = static_cast<uint16_t>(base.value());
  auto drain =
      ReadInt(ini, "instance/drain_timeout_ms", 0, 600000, s.drain_timeout_ms);
  if (!drain) return drain.error();
  s.drain_timeout_ms = drain.value();
  auto membership =
      ReadInt(ini, "instance/membership_port", 0, 65535, s.membership_port);
  if (!membership) return membership.error();
  s.membership_port = static_cast<uint16_t>(membership.value());
  auto grace =
      ReadInt(ini, "instance/drain_grace_ms", 0, 60000, s.drain_grace_ms);
  if (!grace) return grace.error();
  s.drain_grace_ms = grace.value();
  auto retention = ReadInt(ini, "instance/claim_retention_s", 600, 604800,
                           s.claim_retention_s);
  if (!retention) return retention.error();
  s.claim_retention_s = retention.value();
  auto memory = ReadInt(ini, "instance/memory_mb", 16, 10'000'000, s.memory_mb);
  if (!memory) return memory.error();
  s.memory_mb = memory.value();
  auto body = ReadInt(ini, "instance/max_body_mb", 1, 1024, s.max_body_mb);
  if (!body) return body.error();
  s.max_body_mb = body.value();
  return s;
}

}  // namespace turmeric::config
