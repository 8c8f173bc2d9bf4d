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
 * The embedded platform (store stand-in, upstream stand-ins) plus entry
 * instances, each with its own kernel, all in this process: what the load
 * tool runs against when no --target is given.
 */
struct EmbeddedStack {
  EmbeddedStack();
  ~EmbeddedStack();
  /** @param instances entry instances to start. @return false on failure. */
  bool Start(int instances);
  /** @param instance index. @return its base URL. */
  QString Url(int instance) const;

  std::shared_ptr<store::MemoryStore> store;
  kernel::Kernel platform;
  EmbeddedPlatform* embedded = nullptr;
  std::vector<std::unique_ptr<kernel::Kernel>> kernels;
  std::vector<GatewayService*> gateways;
};

}  // namespace turmeric::gateway
