#pragma once

#include <memory>
#include <string_view>
#include <utility>

#include "turmeric/kernel/service.h"
#include "turmeric/store/object_store.h"
#include "turmeric/store/store_executor.h"

namespace turmeric::gateway {

/** Service "store": access of this instance to the platform's object API. */
class StoreService : public kernel::Service {
 public:
  /** @param store the platform's store or the embedded stand-in. */
  explicit StoreService(std::shared_ptr<store::ObjectStore> store)
      : store_(std::move(store)), executor_(kThreads) {}
  std::string_view name() const override { return "store"; }
  utils::Result<void> Start(kernel::Kernel&) override {
    return boost::outcome_v2::success();
  }
  /** @return the object API; its calls block. */
  store::ObjectStore& store() { return *store_; }
  /** @return executor that runs blocking store calls off the event loop. */
  store::StoreExecutor& executor() { return executor_; }

 private:
  /**
   * At 4 ms per call, 8 threads complete 2,000 calls/s, enough for the reads of
   * the whole fleet.
   */
  static constexpr int kThreads = 8;

  std::shared_ptr<store::ObjectStore> store_;
  store::StoreExecutor executor_;
};

}  // namespace turmeric::gateway
