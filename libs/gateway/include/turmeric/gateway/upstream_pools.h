#pragma once

#include <map>
#include <string>
#include <string_view>

#include "turmeric/config/resolved_settings.h"
#include "turmeric/gateway/upstream_pool.h"

namespace turmeric::gateway {

/**
 * Every pool this instance routes to, kept in step with the settings. A pool
 * belongs to one business; an upstream's state is kept once per address.
 */
class UpstreamPools {
 public:
  /**
   * @param business the business whose pool is meant.
   * @param stage a stage as resolved; its upstream list is applied.
   * @return the pool serving it.
   */
  UpstreamPool& For(std::string_view business, const config::StageSpec& stage);
  /**
   * Applies the platform's instance list.
   * @param address an upstream, known yet or not.
   * @param leaving its state in the list.
   */
  void SetLeaving(std::string_view address, bool leaving);

 private:
  struct Pool {
    UpstreamPool pool;
    std::vector<std::string> applied;  ///< Addresses the members came from.
  };
  UpstreamRef Upstream(std::string_view address);

  std::map<std::string, Pool, std::less<>> pools_;
  std::map<std::string, UpstreamRef, std::less<>> upstreams_;
};

}  // namespace turmeric::gateway
