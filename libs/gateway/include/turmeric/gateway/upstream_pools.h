#pragma once

#include <map>
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
  void MarkLeaving(std::string_view address);
  /** @return pools by name. */
  const std::map<std::string, UpstreamPool, std::less<>>& pools() const {
    return pools_;
  }

 private:
  std::map<std::string, UpstreamPool, std::less<>> pools_;
  std::map<std::string, std::string, std::less<>> applied_;
};

}  // namespace turmeric::gateway
