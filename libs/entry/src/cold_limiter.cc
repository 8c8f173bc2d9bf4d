#include "turmeric/entry/cold_limiter.h"

#include <utility>

namespace turmeric::entry {

using routing::RecentSends;
using routing::SenderRole;
using routing::ServiceSpec;
using routing::Upstream;
using routing::UpstreamFilter;

namespace {

UpstreamFilter AdmitNone() {
  return [](const Upstream&) { return false; };
}

}  // namespace

ColdLimiter::ColdLimiter(routing::ColdTolerance tolerance, std::string self)
    : tolerance_(tolerance), self_(std::move(self)) {}

void ColdLimiter::UpdateOwnedParts() {
  const bool reaches_most = !reaches_most_ || reaches_most_();
  std::erase_if(owned_since_, [&](const auto& owned) {
    return !reaches_most || (owns_ && !owns_(owned.first));
  });
}

std::optional<int> ColdLimiter::ArrivalBoundOf(const ServiceSpec* spec) const {
  if (!enabled_ || spec == nullptr) return std::nullopt;
  return routing::ArrivalBound(spec->cold_per_s, tolerance_);
}

UpstreamFilter ColdLimiter::AdmitsAsOwner(const ServiceSpec* spec,
                                          const std::string& part,
                                          Clock::time_point now) {
  const auto bound = ArrivalBoundOf(spec);
  if (!bound) return {};
  if (!other_instances_) return AdmitNone();
  if (reaches_most_ && !reaches_most_()) return AdmitsAsNonOwner(spec, now);
  const auto since = owned_since_.try_emplace(part, now).first->second;
  // The sends of a previous owner within the last second are not known to this
  // instance.
  const bool is_new_owner = now - since < RecentSends::kWindow;
  if (is_new_owner && !routing::IsSuccessor(part, self_, *other_instances_)) {
    return AdmitsAsNonOwner(spec, now);
  }
  const auto limit = static_cast<size_t>(routing::ShareOfBound(
      *bound, is_new_owner ? SenderRole::kNewOwner : SenderRole::kOwner));
  return [limit, now](const Upstream& u) { return u.sends.Count(now) < limit; };
}

UpstreamFilter ColdLimiter::AdmitsAsNonOwner(const ServiceSpec* spec,
                                             Clock::time_point now) const {
  const auto bound = ArrivalBoundOf(spec);
  if (!bound) return {};
  if (!other_instances_) return AdmitNone();
  const int share = routing::ShareOfBound(*bound, SenderRole::kUncoordinated);
  return [this, share, now](const Upstream& u) {
    const int own =
        routing::InstanceShare(share, u.entry.id, self_, *other_instances_);
    return u.sends.Count(now) < static_cast<size_t>(own);
  };
}

UpstreamFilter ColdLimiter::AdmitsForUnowned(const ServiceSpec* spec,
                                             Clock::time_point now) const {
  const auto bound = ArrivalBoundOf(spec);
  if (!bound) return {};
  const int share = routing::ShareOfBound(*bound, SenderRole::kNoOwner);
  return [this, share, now](const Upstream& u) {
    if (now >= u.cold_until) return true;
    if (!other_instances_) return false;
    const int own =
        routing::InstanceShare(share, u.entry.id, self_, *other_instances_);
    return u.sends.Count(now) < static_cast<size_t>(own);
  };
}

void ColdLimiter::RecordSend(const ServiceSpec* spec, Upstream& upstream,
                             Clock::time_point now) const {
  if (ArrivalBoundOf(spec)) upstream.sends.Note(now);
}

}  // namespace turmeric::entry
