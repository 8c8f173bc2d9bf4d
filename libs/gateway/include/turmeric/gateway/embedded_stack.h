#pragma once

#include <QString>
#include <memory>
#include <vector>

#include "turmeric/kernel/kernel.h"

namespace turmeric::store {
class MemoryStore;
}
namespace turmeric::gateway {

class EmbeddedPlatform;
class GatewayService;

/**
 * The embedded platform (store and upstream stand-ins) and entry instances,
 * each with its own kernel, all in this process. The load tool uses it when no
 * --target is given.
 */
struct EmbeddedStack {
  EmbeddedStack();
  ~EmbeddedStack();
  /**
   * @param instances number of entry instances to start.
   * @return false on failure.
   */
  bool Start(int instances);
  /**
   * @param instance index of the instance.
   * @return its base URL.
   */
  QString Url(int instance) const;

  std::shared_ptr<store::MemoryStore> store;
  kernel::Kernel platform;
  EmbeddedPlatform* embedded = nullptr;
  std::vector<std::unique_ptr<kernel::Kernel>> kernels;
  std::vector<GatewayService*> gateways;
};

}  // namespace turmeric::gateway
