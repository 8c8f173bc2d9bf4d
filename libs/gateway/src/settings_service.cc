#include "turmeric/gateway/settings_service.h"

#include "turmeric/gateway/store_service.h"
#include "turmeric/kernel/kernel.h"

namespace turmeric::gateway {

utils::Result<void> SettingsService::Start(kernel::Kernel& kernel) {
  auto* store = kernel.Find<StoreService>("store");
  if (store == nullptr) {
    return utils::Fail(utils::Errc::kConfigInvalid, "no store service");
  }
  tree_ = std::make_unique<config::SettingsTree>(store->store());
  // Reads the settings before serving if the store is reachable. Otherwise the
  // instance starts as not ready and the keeper continues to retry.
  (void)tree_->Arm();
  keeper_ = std::make_unique<store::WatchKeeper>(tree_->watch(),
                                                 store->executor(), "settings");
  keeper_->Start();
  return boost::outcome_v2::success();
}

void SettingsService::Stop() { keeper_.reset(); }

}  // namespace turmeric::gateway
