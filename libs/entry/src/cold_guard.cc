#include "turmeric/entry/cold_guard.h"

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

ColdGuard::ColdGuard(routing::ColdTolerance tolerance, std::string self)
    : tolerance_(tolerance), self_(std::move(self)) {}

void ColdGuard::CheckOwned() {
  const bool reaches_most = !reaches_most_ || reaches_most_();
  std::erase_if(owned_since_, [&](const auto& owned) {
    return !reaches_most || (owns_ && !owns_(owned.first));
  });
}

std::optional<int> ColdGuard::BoundOf(const ServiceSpec* spec) const {
  if (!on_ || spec == nullptr) return std::nullopt;
  return routing::ArrivalBound(spec->cold_per_s, tolerance_);
}

UpstreamFilter ColdGuard::AsOwner(const ServiceSpec* spec,
                                  const std::string& part,
                                  Clock::time_point now) {
  const auto bound = BoundOf(spec);
  if (!bound) return {};
  if (!others_) return AdmitNone();
  if (reaches_most_ && !reaches_most_()) return Alone(spec, now);
  const auto since = owned_since_.try_emplace(part, now).first->second;
  // What an earlier owner sent in this second is not known here.
  const bool took_over = now - since < RecentSends::kWindow;
  if (took_over && !routing::IsSuccessor(part, self_, *others_)) {
    return Alone(spec, now);
  }
  const auto most = static_cast<size_t>(routing::ShareOfBound(
      *bound, took_over ? SenderRole::kNewOwner : SenderRole::kOwner));
  return [most, now](const Upstream& u) { return u.sends.Count(now) < most; };
}

UpstreamFilter ColdGuard::Alone(const ServiceSpec* spec,
                                Clock::time_point now) const {
  const auto bound = BoundOf(spec);
  if (!bound) return {};
  if (!others_) return AdmitNone();
  const int share = routing::ShareOfBound(*bound, SenderRole::kUncoordinated);
  return [this, share, now](const Upstream& u) {
    const int own = routing::InstanceShare(share, u.entry.id, self_, *others_);
    return u.sends.Count(now) < static_cast<size_t>(own);
  };
}

UpstreamFilter ColdGuard::WithoutOwner(const ServiceSpec* spec,
                                       Clock::time_point now) const {
  const auto bound = BoundOf(spec);
  if (!bound) return {};
  const int share = routing::ShareOfBound(*bound, SenderRole::kNoOwner);
  return [this, share, now](const Upstream& u) {
    if (now >= u.cold_until) return true;
    if (!others_) return false;
    const int own = routing::InstanceShare(share, u.entry.id, self_, *others_);
    return u.sends.Count(now) < static_cast<size_t>(own);
  };
}

void ColdGuard::NoteSend(const ServiceSpec* spec, Upstream& upstream,
                         Clock::time_point now) const {
  if (BoundOf(spec)) upstream.sends.Note(now);
}

}  // namespace turmeric::entry
