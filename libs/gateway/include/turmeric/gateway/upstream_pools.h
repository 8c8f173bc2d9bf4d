#pragma once

#include <map>
#include <set>
#include <string>

#include "turmeric/config/resolved_settings.h"
#include "turmeric/gateway/upstream_pool.h"

namespace turmeric::gateway {

/** Every pool this instance routes to, kept in step with the settings. */
class UpstreamPools {
 public:
  /**
   * @param stage a stage as resolved; its upstream list is applied.
   * @return the pool serving it.
   */
  UpstreamPool& For(const config::StageSpec& stage);
  /** @param address upstream to give no new work, in every pool. */
  void MarkLeaving(std::string_view address) { SetLeaving(address, true); }
  /**
   * Applies the platform's instance list: remembered for pools built later.
   * @param address an upstream. @param leaving its state in the list.
   */
  void SetLeaving(std::string_view address, bool leaving);
  /** @return pools by name. */
  const std::map<std::string, UpstreamPool, std::less<>>& pools() const {
    return pools_;
  }

 private:
  std::map<std::string, UpstreamPool, std::less<>> pools_;
  std::map<std::string, std::string, std::less<>> applied_;
  std::set<std::string, std::less<>> listed_leaving_;
};

}  // namespace turmeric::gateway
