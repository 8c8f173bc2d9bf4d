#include "turmeric/gateway/admission.h"

namespace turmeric::gateway {

using utils::Errc;

namespace {
std::string OrgKey(const config::ResolvedSettings& s) {
  return s.business + "/" + s.organisation;
}
}  // namespace

Errc Admission::TryAdmit(const config::ResolvedSettings& settings,
                         int deadline_ms) {
  if (draining_) return Errc::kDraining;
  // Guard: a deadline too short to give every stage its minimum would be
  // answered late or cut; shed it now as "not run" so the caller can act.
  const int needed =
      static_cast<int>(settings.stages.size()) * settings.min_stage_ms;
  if (deadline_ms < needed) return Errc::kDeadlineTooShort;
  int& count = per_organisation_[OrgKey(settings)];
  if (count >= settings.max_inflight) return Errc::kOverloaded;
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
