#pragma once

#include <string_view>

#include "turmeric/utils/result.h"

namespace turmeric::kernel {

class Kernel;

/**
 * A part of the daemon with one job. Services find each other by name
 * through the Kernel, never by holding each other at construction.
 */
class Service {
 public:
  virtual ~Service() = default;
  /** @return the name other services look this one up by. */
  virtual std::string_view name() const = 0;
  /**
   * Starts the service; called in registration order.
   * @param kernel the kernel, to look up services registered earlier.
   * @return failure stops the daemon's start with that error.
   */
  virtual utils::Result<void> Start(Kernel& kernel) = 0;
  /** Stops the service; called in reverse registration order. */
  virtual void Stop() {}
};

}  // namespace turmeric::kernel
