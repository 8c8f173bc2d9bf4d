#pragma once

#include <memory>
#include <string_view>
#include <vector>

#include "turmeric/kernel/service.h"
#include "turmeric/utils/result.h"

namespace turmeric::kernel {

/** Owns, starts and stops the services of a daemon and finds them by name. */
class Kernel {
 public:
  Kernel() = default;
  Kernel(const Kernel&) = delete;
  Kernel& operator=(const Kernel&) = delete;
  ~Kernel();

  /**
   * Adds a service.
   * @param service a service with a unique name.
   * @return the service, which is owned by the kernel.
   */
  Service* Register(std::unique_ptr<Service> service);

  /**
   * @param name a service name.
   * @return the service with this name, or nullptr if there is none or it is
   *     not of type T.
   */
  template <class T>
  T* Find(std::string_view name) const {
    return dynamic_cast<T*>(FindService(name));
  }

  /** Starts the services in registration order, up to the first failure.
   * @return the first failure, if any. */
  utils::Result<void> StartAll();
  /** Stops all started services in reverse order. Idempotent. */
  void StopAll();

 private:
  Service* FindService(std::string_view name) const;

  std::vector<std::unique_ptr<Service>> services_;
  size_t started_ = 0;
};

}  // namespace turmeric::kernel
