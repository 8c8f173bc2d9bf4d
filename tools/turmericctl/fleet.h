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
 * Entry instances running as processes of their own (--targets, --pids), and
 * the stand-ins around them, which run in this process.
 */
class Fleet {
 public:
  /** @return false if --targets and --pids do not name at least 4. */
  bool Start();
  /** @param instance index. @param signal sent to its process. */
  void Signal(size_t instance, int signal);
  /** @param faults of the platform's store from now on. */
  void SetStore(const standins::PlatformFaults& faults);

  /** @return base URL of each instance. */
  const std::vector<QString>& urls() const { return urls_; }
  /** @return the upstream stand-ins. */
  gateway::EmbeddedPlatform& embedded() { return *embedded_; }
  /** @return what the platform's store holds. */
  store::MemoryStore& memory() { return *memory_; }

 private:
  kernel::Kernel kernel_;
  std::shared_ptr<store::MemoryStore> memory_;
  gateway::EmbeddedPlatform* embedded_ = nullptr;
  std::unique_ptr<standins::PlatformStandin> platform_;
  std::vector<QString> urls_;
  std::vector<pid_t> pids_;
};

/** Lets the event loop run. @param ms how long. */
void RunFor(int ms);

}  // namespace turmeric::ctl
