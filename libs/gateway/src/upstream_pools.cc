#include "turmeric/gateway/upstream_pools.h"

#include <algorithm>
#include <iterator>

namespace turmeric::gateway {

UpstreamRef UpstreamPools::Upstream(std::string_view address) {
  auto it = upstreams_.find(address);
  if (it == upstreams_.end()) {
    auto made = std::make_shared<UpstreamState>();
    made->address = address;
    it = upstreams_.emplace(made->address, std::move(made)).first;
  }
  return it->second;
}

UpstreamPool& UpstreamPools::For(std::string_view business,
                                 const config::StageSpec& stage) {
  // Guard: two businesses may name a pool alike. Kept under the name alone,
  // each request replaced the other business's members and lost what was
  // known of them: queue lengths, and which are leaving.
  std::string key(business);
  key += '/';
  key += stage.pool;
  Pool& held = pools_[key];
  if (held.applied != stage.upstreams) {
    std::vector<UpstreamRef> members;
    std::ranges::transform(
        stage.upstreams, std::back_inserter(members),
        [this](const std::string& address) { return Upstream(address); });
    held.pool.SetMembers(std::move(members));
    held.applied = stage.upstreams;
    // An address in no pool and no call is forgotten, so that addresses
    // replaced day by day do not pile up.
    std::erase_if(upstreams_, [](const auto& entry) {
      return entry.second.use_count() == 1 && !entry.second->listed_leaving;
    });
  }
  return held.pool;
}

void UpstreamPools::SetLeaving(std::string_view address, bool leaving) {
  const UpstreamRef upstream = Upstream(address);
  upstream->listed_leaving = leaving;
  // The list's "live" is newer than a refusal by the address's last holder.
  if (!leaving) upstream->refuses_till = {};
}

}  // namespace turmeric::gateway
