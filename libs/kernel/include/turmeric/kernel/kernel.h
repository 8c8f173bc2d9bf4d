#pragma once

#include <memory>
#include <string_view>
#include <vector>

#include "turmeric/kernel/service.h"
#include "turmeric/utils/result.h"

namespace turmeric::kernel {

/** The micro-kernel: owns services, starts and stops them, finds by name. */
class Kernel {
 public:
  Kernel() = default;
  Kernel(const Kernel&) = delete;
  Kernel& operator=(const Kernel&) = delete;
  ~Kernel();

  /**
   * @param service a service; its name must be unique.
   * @return the service, still owned by the kernel.
   */
  Service* Register(std::unique_ptr<Service> service);

  /**
   * @param name a service name.
   * @return the service of that name and type, or nullptr.
   */
  template <class T>
  T* Find(std::string_view name) const {
    return dynamic_cast<T*>(FindService(name));
  }

  /** @return first failure of any service's Start, in order. */
  utils::Result<void> StartAll();
  /** Stops every started service in reverse order; idempotent. */
  void StopAll();

 private:
  Service* FindService(std::string_view name) const;

  std::vector<std::unique_ptr<Service>> services_;
  size_t started_ = 0;
};

}  // namespace turmeric::kernel
