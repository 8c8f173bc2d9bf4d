#pragma once

#include <memory>

#include "turmeric/kernel/service.h"
#include "turmeric/store/object_store.h"

namespace turmeric::store {
class MemoryStore;
}

namespace turmeric::gateway {

/** Service "store": the platform's object API as this instance reaches it. */
class StoreService : public kernel::Service {
 public:
  /** @param store the store to use (the embedded stand-in today). */
  explicit StoreService(std::shared_ptr<store::ObjectStore> store)
      : store_(std::move(store)) {}
  std::string_view name() const override { return "store"; }
  utils::Result<void> Start(kernel::Kernel&) override {
    return boost::outcome_v2::success();
  }
  /** @return the object API. */
  store::ObjectStore& store() { return *store_; }

 private:
  std::shared_ptr<store::ObjectStore> store_;
};

}  // namespace turmeric::gateway
