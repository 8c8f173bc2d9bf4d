#include "turmeric/gateway/upstream_pools.h"

namespace turmeric::gateway {

UpstreamPool& UpstreamPools::For(const config::StageSpec& stage) {
  UpstreamPool& pool = pools_[stage.pool];
  std::string joined;
  for (const auto& a : stage.upstreams) joined += a + ",";
  std::string& applied = applied_[stage.pool];
  if (applied != joined) {
    pool.SetAddresses(stage.upstreams);
    applied = joined;
  }
  return pool;
}

void UpstreamPools::MarkLeaving(std::string_view address) {
  for (auto& [name, pool] : pools_) pool.MarkLeaving(address);
}

}  // namespace turmeric::gateway
