#include "turmeric/quarantine/request_traits.h"

#include <algorithm>

#include "turmeric/quarantine/fingerprint.h"

namespace turmeric::quarantine {

namespace {

constexpr char kKeySeparator = '/';
/** Longest id that a key contains as it is. */
constexpr size_t kMaxIdLength = 32;

bool IsIdCharacter(char c) {
  return (c >= '0' && c <= '9') || (c >= 'a' && c <= 'z') ||
         (c >= 'A' && c <= 'Z') || c == '-' || c == '_' || c == '.';
}

std::string IdOrHash(std::string_view id) {
  if (id.size() <= kMaxIdLength && std::ranges::all_of(id, IsIdCharacter)) {
    return std::string(id);
  }
  return Fingerprint(
      {.caller = {}, .method = {}, .host = {}, .target = {}, .body = id});
}

}  // namespace

std::string PartKey(std::string_view model, std::string_view part) {
  return IdOrHash(model) + kKeySeparator + IdOrHash(part);
}

bool IsPartKey(std::string_view trait) {
  return trait.find(kKeySeparator) != std::string_view::npos;
}

std::string JoinParts(const std::vector<std::string>& parts) {
  if (parts.empty()) return "-";
  std::string joined;
  for (const std::string& part : parts) {
    if (!joined.empty()) joined += '+';
    joined += part;
  }
  return joined;
}

}  // namespace turmeric::quarantine
