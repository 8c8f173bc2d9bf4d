#pragma once

#include <memory>

#include "turmeric/config/settings_tree.h"
#include "turmeric/kernel/service.h"
#include "turmeric/store/watch_keeper.h"

namespace turmeric::gateway {

/**
 * Service "settings": the watched settings tree. While the store is down
 * the cached tree keeps serving; the watch is re-armed with back-off from
 * the last applied revision.
 */
class SettingsService : public kernel::Service {
 public:
  std::string_view name() const override { return "settings"; }
  utils::Result<void> Start(kernel::Kernel& kernel) override;
  void Stop() override;
  /** @return the tree. */
  config::SettingsTree& tree() { return *tree_; }

 private:
  std::unique_ptr<config::SettingsTree> tree_;
  std::unique_ptr<store::WatchKeeper> keeper_;
};

}  // namespace turmeric::gateway
