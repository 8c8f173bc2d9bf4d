#include "turmeric/config/settings_layer.h"

#include <algorithm>
#include <charconv>
#include <cstdint>
#include <regex>

namespace turmeric::config {

using utils::Errc;
using utils::Fail;

namespace {

enum class ValueKind { kInt, kBool, kRouting, kPoolKind, kIdList, kAddrList };

/** Schema of the keys that match a pattern. */
struct KeyRule {
  std::regex pattern;
  ValueKind kind;
  int64_t min = 0;  ///< Bounds of a kInt value, both included.
  int64_t max = 0;
};

const std::vector<KeyRule>& KeyRules() {
  static const std::vector<KeyRule> rules = {
      {std::regex("deadline_ms"), ValueKind::kInt, 1, 600000},
      {std::regex("max_inflight"), ValueKind::kInt, 1, 1000000},
      {std::regex("max_inflight_fleet"), ValueKind::kInt, 0, 1000000},
      {std::regex("retry_budget_percent"), ValueKind::kInt, 0, 100},
      {std::regex("hedge_percent"), ValueKind::kInt, 0, 100},
      {std::regex("min_stage_ms"), ValueKind::kInt, 0, 60000},
      {std::regex("routing"), ValueKind::kRouting},
      {std::regex("stages"), ValueKind::kIdList},
      {std::regex("stage\\.[a-z0-9_-]+\\.pool"), ValueKind::kIdList},
      {std::regex("stage\\.[a-z0-9_-]+\\.idempotent"), ValueKind::kBool},
      {std::regex("pool\\.[a-z0-9_-]+\\.upstreams"), ValueKind::kAddrList},
      {std::regex("pool\\.[a-z0-9_-]+\\.kind"), ValueKind::kPoolKind},
  };
  return rules;
}

std::string_view Trim(std::string_view s) {
  const auto first = s.find_first_not_of(" \t\r");
  if (first == std::string_view::npos) return {};
  const auto last = s.find_last_not_of(" \t\r");
  return s.substr(first, last - first + 1);
}

bool IsValidValue(const KeyRule& rule, const std::string& v) {
  static const std::regex kIdsPattern("[a-z0-9_-]+(,[a-z0-9_-]+)*");
  static const std::regex kAddressesPattern(
      "[0-9]{1,3}(\\.[0-9]{1,3}){3}:[0-9]{1,5}"
      "(,[0-9]{1,3}(\\.[0-9]{1,3}){3}:[0-9]{1,5})*");
  switch (rule.kind) {
    case ValueKind::kInt: {
      int64_t n = 0;
      auto [end, ec] = std::from_chars(v.data(), v.data() + v.size(), n);
      return ec == std::errc() && end == v.data() + v.size() && n >= rule.min &&
             n <= rule.max;
    }
    case ValueKind::kBool:
      return v == "true" || v == "false";
    case ValueKind::kRouting:
      return v == "p2c_ewma" || v == "p2c" || v == "round_robin";
    case ValueKind::kPoolKind:
      return v == "engine" || v == "service";
    case ValueKind::kIdList:
      return std::regex_match(v, kIdsPattern);
    case ValueKind::kAddrList:
      return std::regex_match(v, kAddressesPattern);
  }
  return false;
}

}  // namespace

utils::Result<SettingsLayer> ParseLayer(std::string_view text) {
  SettingsLayer layer;
  int line_number = 0;
  size_t pos = 0;
  while (pos <= text.size()) {
    const size_t end = std::min(text.find('\n', pos), text.size());
    const std::string_view line = Trim(text.substr(pos, end - pos));
    pos = end + 1;
    ++line_number;
    if (line.empty() || line.front() == '#') continue;
    const auto eq = line.find('=');
    if (eq == std::string_view::npos) {
      return Fail(Errc::kConfigInvalid,
                  "line " + std::to_string(line_number) + ": want key = value");
    }
    std::string key(Trim(line.substr(0, eq)));
    std::string value(Trim(line.substr(eq + 1)));
    const auto& rules = KeyRules();
    auto rule = std::ranges::find_if(rules, [&](const KeyRule& r) {
      return std::regex_match(key, r.pattern);
    });
    if (rule == rules.end()) {
      return Fail(
          Errc::kConfigUnknownKey,
          "line " + std::to_string(line_number) + ": unknown key " + key);
    }
    if (!IsValidValue(*rule, value)) {
      return Fail(Errc::kConfigInvalid, "line " + std::to_string(line_number) +
                                            ": bad value for " + key + ": " +
                                            value);
    }
    layer.entries.emplace_back(std::move(key), std::move(value));
  }
  std::ranges::stable_sort(layer.entries, {},
                           &std::pair<std::string, std::string>::first);
  // If a key is stated twice, the later line wins.
  const auto kept = std::unique(
      layer.entries.rbegin(), layer.entries.rend(),
      [](const auto& a, const auto& b) { return a.first == b.first; });
  layer.entries.erase(layer.entries.begin(), kept.base());
  return layer;
}

std::string RenderLayer(const SettingsLayer& layer) {
  std::string out;
  for (const auto& [k, v] : layer.entries) out += k + " = " + v + "\n";
  return out;
}

const std::string* FindValue(const SettingsLayer& layer, std::string_view key) {
  auto it = std::ranges::lower_bound(
      layer.entries, key, {},
      [](const auto& e) -> std::string_view { return e.first; });
  if (it == layer.entries.end() || it->first != key) return nullptr;
  return &it->second;
}

}  // namespace turmeric::config
