#pragma once

#include <sys/types.h>

#include <QString>
#include <memory>
#include <string>
#include <vector>

#include "turmeric/kernel/kernel.h"
#include "turmeric/standins/platform_standin.h"

namespace turmeric::gateway {
class EmbeddedPlatform;
}
namespace turmeric::store {
class MemoryStore;
}

namespace turmeric::ctl {

/**
 * Instances in processes of their own (--targets, --pids), and the stand-ins
 * for the systems that they call, which run in this process.
 */
class Fleet {
 public:
  /** Starts the stand-ins. @return false if that fails or if --targets and
   * --pids do not name the same number of instances, at least 4. */
  bool Start();
  /** Sends a signal to the process of an instance.
   * @param instance index of the instance. @param signal its number. */
  void Signal(size_t instance, int signal);
  /** @param faults of the platform's store until the next call. */
  void SetStoreFaults(const standins::PlatformFaults& faults);

  /** @return base URL of each instance. */
  const std::vector<QString>& urls() const { return urls_; }
  /** @return the upstream stand-ins. */
  gateway::EmbeddedPlatform& embedded() { return *embedded_; }
  /** @return the objects of the platform's store. */
  store::MemoryStore& memory() { return *memory_; }

 private:
  kernel::Kernel kernel_;
  std::shared_ptr<store::MemoryStore> memory_;
  gateway::EmbeddedPlatform* embedded_ = nullptr;
  std::unique_ptr<standins::PlatformStandin> platform_;
  std::vector<QString> urls_;
  std::vector<pid_t> pids_;
};

/** Runs the event loop for a time. @param ms duration. */
void RunFor(int ms);

}  // namespace turmeric::ctl
