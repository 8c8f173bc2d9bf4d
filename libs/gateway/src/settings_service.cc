#include "turmeric/gateway/settings_service.h"

#include <easylogging++.h>

#include "turmeric/gateway/store_service.h"
#include "turmeric/kernel/kernel.h"

namespace turmeric::gateway {

utils::Result<void> SettingsService::Start(kernel::Kernel& kernel) {
  auto* store = kernel.Find<StoreService>("store");
  if (store == nullptr) {
    return utils::Fail(utils::Errc::kConfigInvalid, "no store service");
  }
  tree_ = std::make_unique<config::SettingsTree>(store->store());
  auto armed = tree_->Arm();
  if (!armed)
    LOG(WARNING) << "event=settings_watch_down detail=\""
                 << armed.error().detail << "\"";
  rearm_.setInterval(1000);
  QObject::connect(&rearm_, &QTimer::timeout, [this] {
    if (tree_->armed()) return;
    if (tree_->Arm()) {
      LOG(INFO) << "event=settings_watch_rearmed revision="
                << tree_->revision();
    }
  });
  rearm_.start();
  return boost::outcome_v2::success();
}

void SettingsService::Stop() { rearm_.stop(); }

}  // namespace turmeric::gateway
