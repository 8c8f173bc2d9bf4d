#pragma once

#include <string_view>

#include "turmeric/utils/result.h"

namespace turmeric::kernel {

class Kernel;

/**
 * A component of the daemon. A service does not receive other services in its
 * constructor; it looks them up by name in the Kernel.
 */
class Service {
 public:
  virtual ~Service() = default;
  /** @return the unique name under which the Kernel finds this service. */
  virtual std::string_view name() const = 0;
  /**
   * Starts the service; called in registration order.
   * @param kernel for the lookup of services that were registered earlier.
   * @return an error aborts the start of the daemon.
   */
  virtual utils::Result<void> Start(Kernel& kernel) = 0;
  /** Stops the service; called in reverse registration order. */
  virtual void Stop() {}
};

}  // namespace turmeric::kernel
