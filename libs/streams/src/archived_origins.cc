#include "turmeric/streams/archived_origins.h"

namespace turmeric::streams {

void ArchivedOrigins::Add(const OriginSegment& segment) {
  for (const auto& [origin, streams] : segment.streams) {
    const StreamOrigin* const known = &*origins_.insert(origin).first;
    for (const uint64_t fingerprint : streams) {
      const auto found = by_fingerprint_.find(fingerprint);
      if (found != by_fingerprint_.end()) {
        if (found->second != known) found->second = nullptr;
      } else if (by_fingerprint_.size() < capacity_) {
        by_fingerprint_.emplace(fingerprint, known);
      }
    }
  }
}

std::optional<StreamOrigin> ArchivedOrigins::Find(const StreamId& id) const {
  const auto found = by_fingerprint_.find(Fingerprint(id));
  const bool is_known =
      found != by_fingerprint_.end() && found->second != nullptr;
  return is_known ? std::optional(*found->second) : std::nullopt;
}

}  // namespace turmeric::streams
