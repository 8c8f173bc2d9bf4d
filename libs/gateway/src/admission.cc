#include "turmeric/gateway/admission.h"

#include <algorithm>

namespace turmeric::gateway {

using utils::Errc;

namespace {
std::string OrgKey(const config::ResolvedSettings& s) {
  return s.business + "/" + s.organisation;
}

/**
 * @return maximum number of requests in flight per organisation on this
 *     instance.
 */
int LocalLimit(const config::ResolvedSettings& s, int live_instances) {
  if (s.max_inflight_fleet == 0) return s.max_inflight;
  // Rounded up, so that an organisation with a small limit gets at least one
  // slot on every instance the balancer may select.
  const int share =
      (s.max_inflight_fleet + live_instances - 1) / std::max(1, live_instances);
  return std::min(s.max_inflight, share);
}

}  // namespace

Errc Admission::TryAdmit(const config::ResolvedSettings& settings,
                         int deadline_ms, int live_instances) {
  if (draining_) return Errc::kDraining;
  // Guard: a deadline too short to give every stage its minimum time would end
  // in a late answer or an aborted run. The request is refused before anything
  // runs, so that the caller can react at once.
  const int needed =
      static_cast<int>(settings.stages.size()) * settings.min_stage_ms;
  if (deadline_ms < needed) return Errc::kDeadlineTooShort;
  int& count = per_organisation_[OrgKey(settings)];
  if (count >= LocalLimit(settings, live_instances)) return Errc::kOverloaded;
  ++count;
  ++inflight_;
  return Errc::kOk;
}

void Admission::Release(const config::ResolvedSettings& settings) {
  auto it = per_organisation_.find(OrgKey(settings));
  if (it == per_organisation_.end() || it->second == 0) return;
  --it->second;
  --inflight_;
}

}  // namespace turmeric::gateway
