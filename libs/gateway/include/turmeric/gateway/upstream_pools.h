#pragma once

#include <map>
#include <string>
#include <string_view>

#include "turmeric/config/resolved_settings.h"
#include "turmeric/gateway/upstream_pool.h"

namespace turmeric::gateway {

/**
 * All pools this instance routes to, updated from the resolved settings. A pool
 * belongs to one business; the state of an upstream is kept once per address.
 */
class UpstreamPools {
 public:
  /**
   * @param business business that owns the pool.
   * @param stage a resolved stage; the pool is updated to its upstream list.
   * @return the pool that serves the stage.
   */
  UpstreamPool& PoolFor(std::string_view business,
                        const config::StageSpec& stage);
  /**
   * Applies an entry of the platform's instance list.
   * @param address address of an upstream; need not be in a pool yet.
   * @param leaving its state in the list.
   */
  void SetLeaving(std::string_view address, bool leaving);

 private:
  struct Pool {
    UpstreamPool pool;
    /** Addresses of the current members. */
    std::vector<std::string> applied_addresses;
  };
  UpstreamRef FindOrCreateUpstream(std::string_view address);

  std::map<std::string, Pool, std::less<>> pools_;
  std::map<std::string, UpstreamRef, std::less<>> upstreams_;
};

}  // namespace turmeric::gateway
