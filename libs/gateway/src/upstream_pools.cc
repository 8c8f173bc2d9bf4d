#include "turmeric/gateway/upstream_pools.h"

#include <algorithm>
#include <iterator>

namespace turmeric::gateway {

UpstreamRef UpstreamPools::FindOrCreateUpstream(std::string_view address) {
  auto it = upstreams_.find(address);
  if (it == upstreams_.end()) {
    auto created = std::make_shared<UpstreamState>();
    created->address = address;
    it = upstreams_.emplace(created->address, std::move(created)).first;
  }
  return it->second;
}

UpstreamPool& UpstreamPools::PoolFor(std::string_view business,
                                     const config::StageSpec& stage) {
  // Guard: two businesses may use the same pool name. With pools keyed by name
  // alone, each request would replace the other business's members and lose
  // their state, such as queue depths and leaving flags.
  std::string key(business);
  key += '/';
  key += stage.pool;
  Pool& pool_state = pools_[key];
  if (pool_state.applied_addresses != stage.upstreams) {
    std::vector<UpstreamRef> members;
    std::ranges::transform(stage.upstreams, std::back_inserter(members),
                           [this](const std::string& address) {
                             return FindOrCreateUpstream(address);
                           });
    pool_state.pool.SetMembers(std::move(members));
    pool_state.applied_addresses = stage.upstreams;
    // The state of an address that is in no pool, has no call in flight and is
    // not listed as leaving is deleted, so that replaced addresses do not
    // accumulate.
    std::erase_if(upstreams_, [](const auto& entry) {
      return entry.second.use_count() == 1 && !entry.second->listed_leaving;
    });
  }
  return pool_state.pool;
}

void UpstreamPools::SetLeaving(std::string_view address, bool leaving) {
  const UpstreamRef upstream = FindOrCreateUpstream(address);
  upstream->listed_leaving = leaving;
  // "live" in the list is newer than a refusal, which may stem from an earlier
  // upstream at the same address.
  if (!leaving) upstream->refused_until = {};
}

}  // namespace turmeric::gateway
