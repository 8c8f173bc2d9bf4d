#pragma once

#include <memory>

#include "turmeric/config/settings_tree.h"
#include "turmeric/kernel/service.h"
#include "turmeric/store/watch_keeper.h"

namespace turmeric::gateway {

/**
 * Service "settings": the settings tree, kept current by a store watch. While
 * the store is unreachable the cached tree stays in force; the watch is armed
 * again with backoff from the last applied revision.
 */
class SettingsService : public kernel::Service {
 public:
  std::string_view name() const override { return "settings"; }
  utils::Result<void> Start(kernel::Kernel& kernel) override;
  void Stop() override;
  /** @return the settings tree. */
  config::SettingsTree& tree() { return *tree_; }

 private:
  std::unique_ptr<config::SettingsTree> tree_;
  std::unique_ptr<store::WatchKeeper> keeper_;
};

}  // namespace turmeric::gateway
