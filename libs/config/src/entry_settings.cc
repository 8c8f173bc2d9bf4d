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

constexpr std::string_view kGroup = "entry/";

/** Longest time a setting may state, ms: an hour. */
constexpr int kMaxMs = 3600 * 1000;
/** Largest ratio and slack of a retry budget that are no typing error. */
constexpr double kMaxRetryRatio = 10;
constexpr double kMaxRetrySlack = 1e6;
/** Largest factor and slack on a cold upstream's rate that are no typing
 * error. */
constexpr double kMaxColdOver = 100;
constexpr double kMaxColdSlack = 1e6;
/** Most cores that an instance may state as its share. */
constexpr double kMaxCpuShare = 1024;

/** Reads keys of the [entry] section and remembers the first mistake. */
class Reader {
 public:
  explicit Reader(const QSettings& ini) : ini_(ini) {}

  void Text(const char* key, std::string& out, const std::regex& form,
            const char* want) {
    known_.insert(key);
    const auto value = Value(key);
    if (!value) return;
    if (!std::regex_match(*value, form)) return Note(key, *value, want);
    out = *value;
  }

  void Ms(const char* key, milliseconds& out) {
    known_.insert(key);
    const auto value = Value(key);
    if (!value) return;
    bool ok = false;
    const int ms = QString::fromStdString(*value).toInt(&ok);
    if (!ok || ms < 0 || ms > kMaxMs) {
      return Note(key, *value, "an integer in [0, 3600000] (ms)");
    }
    out = milliseconds(ms);
  }

  void Number(const char* key, double& out, double most) {
    known_.insert(key);
    const auto value = Value(key);
    if (!value) return;
    bool ok = false;
    const double number = QString::fromStdString(*value).toDouble(&ok);
    if (!ok || number < 0 || number > most) {
      return Note(key, *value, "a number that is not negative");
    }
    out = number;
  }

  void Flag(const char* key, bool& out) {
    known_.insert(key);
    const auto value = Value(key);
    if (!value) return;
    if (*value != "true" && *value != "false") {
      return Note(key, *value, "true or false");
    }
    out = *value == "true";
  }

  /** Names of mechanisms, separated by spaces, that are not to be used. */
  void SwitchedOff(const char* key, Mechanisms& out) {
    known_.insert(key);
    std::istringstream names(Value(key).value_or(""));
    for (std::string name; names >> name;) {
      const auto mechanism = ParseMechanism(name);
      if (!mechanism) return Note(key, name, "names of mechanisms");
      out.SwitchOff(*mechanism);
    }
  }

  void CheckUnknown() {
    for (const QString& key : ini_.allKeys()) {
      const std::string name = key.toStdString();
      if (!name.starts_with(kGroup) ||
          !known_.contains(name.substr(kGroup.size()))) {
        Note(name, "", "no such key");
      }
    }
  }

  const std::string& mistake() const { return mistake_; }

 private:
  std::optional<std::string> Value(const char* key) const {
    const QString name = QString::fromStdString(std::string(kGroup) + key);
    if (!ini_.contains(name)) return std::nullopt;
    return ini_.value(name).toString().toStdString();
  }

  void Note(const std::string& key, const std::string& value,
            const std::string& want) {
    if (!mistake_.empty()) return;
    mistake_ = key + "=" + value + ": want " + want;
  }

  const QSettings& ini_;
  std::set<std::string> known_;
  std::string mistake_;
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
  Reader reader(ini);
  reader.Text("name", s.name, kName, "a name");
  reader.Text("zone", s.zone, kName, "a name");
  reader.Text("front_address", s.front_address, kAddress, "ip:port");
  reader.Text("readiness_address", s.readiness_address, kAddress, "ip:port");
  reader.Text("metrics_address", s.metrics_address, kOptionalAddress,
              "ip:port");
  reader.Text("peer_address", s.peer_address, kOptionalAddress, "ip:port");
  reader.Text("store_address", s.store_address, kAddress, "ip:port");
  reader.Text("log_level", s.log_level, kLevel,
              "debug, info, warning or error");
  reader.Ms("stop_grace_ms", s.stop_grace);
  reader.Ms("lapsed_grace_ms", s.lapsed_grace);
  reader.Ms("drain_bound_ms", s.drain_bound);
  reader.Ms("config_bound_ms", s.config_bound);
  reader.Ms("evacuation_bound_ms", s.evacuation_bound);
  reader.Number("cold_over", s.cold_over, kMaxColdOver);
  reader.Number("cold_slack", s.cold_slack, kMaxColdSlack);
  reader.Number("cpu_share", s.cpu_share, kMaxCpuShare);
  reader.Number("retry_ratio", s.retry_ratio, kMaxRetryRatio);
  reader.Number("retry_slack", s.retry_slack, kMaxRetrySlack);
  reader.Ms("retry_window_ms", s.retry_window);
  reader.Flag("first_start", s.first_start);
  reader.SwitchedOff("switched_off", s.mechanisms);
  reader.CheckUnknown();
  if (!reader.mistake().empty()) {
    return Fail(Errc::kIniInvalid, reader.mistake());
  }
  const std::array<std::pair<const char*, const std::string*>, 4> required = {
      {{"name", &s.name},
       {"zone", &s.zone},
       {"front_address", &s.front_address},
       {"store_address", &s.store_address}}};
  for (const auto& [key, value] : required) {
    if (value->empty()) {
      return Fail(Errc::kIniInvalid,
                  std::string(kGroup) + key + " must be set");
    }
  }
  return s;
}

}  // namespace turmeric::config
