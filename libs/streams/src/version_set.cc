#include "turmeric/streams/version_set.h"

#include <algorithm>
#include <iterator>

namespace turmeric::streams {

bool VersionSet::Add(const StreamOrigin& version, Clock::time_point now) {
  return last_listed_.try_emplace(version, now).second;
}

void VersionSet::OnListed(const StreamOrigin& version, Clock::time_point now) {
  const auto it = last_listed_.find(version);
  if (it != last_listed_.end()) it->second = now;
}

std::vector<StreamOrigin> VersionSet::DropUnlisted(Clock::time_point now) {
  std::vector<StreamOrigin> dropped;
  std::erase_if(last_listed_, [&](const auto& entry) {
    const bool drop = entry.second + retention_ <= now;
    if (drop) dropped.push_back(entry.first);
    return drop;
  });
  return dropped;
}

std::vector<std::string> VersionSet::Of(std::string_view service) const {
  std::vector<std::string> versions;
  for (const auto& [origin, at] : last_listed_) {
    if (origin.service == service) versions.push_back(origin.version);
  }
  return versions;
}

std::vector<StreamOrigin> VersionSet::All() const {
  std::vector<StreamOrigin> all;
  std::ranges::transform(last_listed_, std::back_inserter(all),
                         [](const auto& entry) { return entry.first; });
  return all;
}

}  // namespace turmeric::streams
