#include "turmeric/gateway/upstream_pools.h"

#include <algorithm>

namespace turmeric::gateway {

UpstreamPool& UpstreamPools::For(const config::StageSpec& stage) {
  UpstreamPool& pool = pools_[stage.pool];
  std::string joined;
  for (const auto& a : stage.upstreams) joined += a + ",";
  std::string& applied = applied_[stage.pool];
  if (applied != joined) {
    pool.SetAddresses(stage.upstreams);
    std::ranges::for_each(listed_leaving_,
                          [&](const std::string& a) { pool.MarkLeaving(a); });
    applied = joined;
  }
  return pool;
}

void UpstreamPools::SetLeaving(std::string_view address, bool leaving) {
  if (leaving) {
    listed_leaving_.emplace(address);
  } else if (auto it = listed_leaving_.find(address);
             it != listed_leaving_.end()) {
    listed_leaving_.erase(it);
  }
  for (auto& [name, pool] : pools_) pool.SetLeaving(address, leaving);
}

}  // namespace turmeric::gateway
