#include "turmeric/config/entry_settings.h"

#include <QFileInfo>
#include <QSettings>
#include <QString>
#include <array>
#include <functional>
#include <regex>
#include <set>
#include <sstream>
#include <string>

namespace turmeric::config {

using std::chrono::milliseconds;
using utils::Errc;
using utils::Fail;

namespace {

constexpr std::string_view kSectionPrefix = "entry/";

/** Longest duration that a setting may state: one hour. */
constexpr int kMaxDurationMs = 3600 * 1000;
/** Upper bounds of a retry budget; a larger value is a typing error. */
constexpr double kMaxRetryRatio = 10;
constexpr double kMaxRetrySlack = 1e6;
/** Upper bounds of the rate limit of cold upstreams; a larger value is a typing
 * error. */
constexpr double kMaxColdOver = 100;
constexpr double kMaxColdSlack = 1e6;
/** Upper bound of the file descriptors of a process. */
constexpr double kMaxDescriptors = 1e8;
/** Upper bound of the memory of an instance, MB. */
constexpr double kMaxMemoryMb = 1e7;
/** Largest CPU share that an instance may state, cores. */
constexpr double kMaxCpuShare = 1024;

/** Reads keys of the [entry] section and keeps the first error. */
class SectionReader {
 public:
  explicit SectionReader(const QSettings& ini) : ini_(ini) {}

  void ReadText(const char* key, std::string& out, const std::regex& regex,
                const char* allowed) {
    known_.insert(key);
    const auto value = Value(key);
    if (!value) return;
    if (!std::regex_match(*value, regex)) return SetError(key, *value, allowed);
    out = *value;
  }

  void ReadDuration(const char* key, milliseconds& out) {
    known_.insert(key);
    const auto value = Value(key);
    if (!value) return;
    bool ok = false;
    const int ms = QString::fromStdString(*value).toInt(&ok);
    if (!ok || ms < 0 || ms > kMaxDurationMs) {
      return SetError(key, *value, "an integer in [0, 3600000] (ms)");
    }
    out = milliseconds(ms);
  }

  void ReadNumber(const char* key, double& out, double max) {
    known_.insert(key);
    const auto value = Value(key);
    if (!value) return;
    bool ok = false;
    const double number = QString::fromStdString(*value).toDouble(&ok);
    if (!ok || number < 0 || number > max) {
      return SetError(
          key, *value,
          "a number in [0, " + QString::number(max).toStdString() + "]");
    }
    out = number;
  }

  void ReadBool(const char* key, bool& out) {
    known_.insert(key);
    const auto value = Value(key);
    if (!value) return;
    if (*value != "true" && *value != "false") {
      return SetError(key, *value, "true or false");
    }
    out = *value == "true";
  }

  /** Reads the names, separated by spaces, of mechanisms to switch off. */
  void ReadSwitchedOff(const char* key, Mechanisms& out) {
    known_.insert(key);
    std::istringstream names(Value(key).value_or(""));
    for (std::string name; names >> name;) {
      const auto mechanism = ParseMechanism(name);
      if (!mechanism) return SetError(key, name, "names of mechanisms");
      out.SwitchOff(*mechanism);
    }
  }

  void CheckUnknownKeys() {
    for (const QString& key : ini_.allKeys()) {
      const std::string name = key.toStdString();
      if (!name.starts_with(kSectionPrefix) ||
          !known_.contains(name.substr(kSectionPrefix.size()))) {
        SetError(name, "", "a known key");
      }
    }
  }

  const std::string& error() const { return error_; }

 private:
  std::optional<std::string> Value(const char* key) const {
    const QString name =
        QString::fromStdString(std::string(kSectionPrefix) + key);
    if (!ini_.contains(name)) return std::nullopt;
    return ini_.value(name).toString().toStdString();
  }

  void SetError(const std::string& key, const std::string& value,
                const std::string& allowed) {
    if (!error_.empty()) return;
    error_ = key + "=" + value + ": want " + allowed;
  }

  const QSettings& ini_;
  std::set<std::string> known_;
  std::string error_;
};

}  // namespace

bool HasEntrySettings(std::string_view path) {
  const QSettings ini(QString::fromUtf8(path.data(), path.size()),
                      QSettings::IniFormat);
  return ini.childGroups().contains("entry");
}

utils::Result<EntrySettings> LoadEntrySettings(std::string_view path) {
  const QString file = QString::fromUtf8(path.data(), path.size());
  if (!QFileInfo::exists(file)) {
    return Fail(Errc::kIniMissing, "no settings file at " + std::string(path));
  }
  const QSettings ini(file, QSettings::IniFormat);
  if (ini.status() != QSettings::NoError) {
    return Fail(Errc::kIniInvalid, "cannot parse " + std::string(path));
  }
  static const std::regex kAddress("[0-9]{1,3}(\\.[0-9]{1,3}){3}:[0-9]{1,5}");
  static const std::regex kOptionalAddress(
      "([0-9]{1,3}(\\.[0-9]{1,3}){3}:[0-9]{1,5})?");
  static const std::regex kName("[^\\s]+");
  static const std::regex kLevel("debug|info|warning|error");
  EntrySettings s;
  SectionReader reader(ini);
  reader.ReadText("name", s.name, kName, "a name");
  reader.ReadText("zone", s.zone, kName, "a name");
  reader.ReadText("front_address", s.front_address, kAddress, "ip:port");
  reader.ReadText("readiness_address", s.readiness_address, kAddress,
                  "ip:port");
  reader.ReadText("metrics_address", s.metrics_address, kOptionalAddress,
                  "ip:port");
  reader.ReadText("peer_address", s.peer_address, kOptionalAddress, "ip:port");
  reader.ReadText("tunnel_address", s.tunnel_address, kOptionalAddress,
                  "ip:port");
  reader.ReadText("store_address", s.store_address, kAddress, "ip:port");
  reader.ReadText("log_level", s.log_level, kLevel,
                  "debug, info, warning or error");
  reader.ReadDuration("stop_grace_ms", s.stop_grace);
  reader.ReadDuration("lapsed_grace_ms", s.lapsed_grace);
  reader.ReadDuration("drain_bound_ms", s.drain_bound);
  reader.ReadDuration("config_bound_ms", s.config_bound);
  reader.ReadDuration("evacuation_bound_ms", s.evacuation_bound);
  reader.ReadNumber("cold_over", s.cold_over, kMaxColdOver);
  reader.ReadNumber("cold_slack", s.cold_slack, kMaxColdSlack);
  reader.ReadNumber("cpu_share", s.cpu_share, kMaxCpuShare);
  reader.ReadNumber("max_descriptors", s.max_descriptors, kMaxDescriptors);
  reader.ReadNumber("memory_mb", s.memory_mb, kMaxMemoryMb);
  reader.ReadNumber("buffer_share", s.buffer_share, 1);
  reader.ReadNumber("request_share", s.request_share, 1);
  reader.ReadNumber("partial_share", s.partial_share, 1);
  reader.ReadNumber("connection_share", s.connection_share, 1);
  reader.ReadNumber("retry_ratio", s.retry_ratio, kMaxRetryRatio);
  reader.ReadNumber("retry_slack", s.retry_slack, kMaxRetrySlack);
  reader.ReadDuration("retry_window_ms", s.retry_window);
  reader.ReadBool("first_start", s.first_start);
  reader.ReadSwitchedOff("switched_off", s.mechanisms);
  bool engine_room = false;
  reader.ReadBool("engine_room", engine_room);
  if (!engine_room) s.mechanisms.SwitchOff(Mechanism::kEngineRoom);
  reader.CheckUnknownKeys();
  if (!reader.error().empty()) {
    return Fail(Errc::kIniInvalid, reader.error());
  }
  const std::array<std::pair<const char*, const std::string*>, 4> required = {
      {{"name", &s.name},
       {"zone", &s.zone},
       {"front_address", &s.front_address},
       {"store_address", &s.store_address}}};
  for (const auto& [key, value] : required) {
    if (value->empty()) {
      return Fail(Errc::kIniInvalid,
                  std::string(kSectionPrefix) + key + " must be set");
    }
  }
  return s;
}

}  // namespace turmeric::config
