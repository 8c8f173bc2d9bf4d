#pragma once

#include <memory>
#include <string>
#include <vector>

#include "turmeric/kernel/service.h"

namespace turmeric::standins {
class EngineStandin;
class ServiceStandin;
}  // namespace turmeric::standins

namespace turmeric::store {
class ObjectStore;
}  // namespace turmeric::store

namespace turmeric::gateway {

/**
 * Service "embedded": starts the upstream stand-ins in-process on loopback
 * and seeds the settings tree with the brief's two businesses (Nilelight's
 * notice translation, Arvoredo's pruning notes), so one command serves
 * real requests. Seeds only keys that are absent, never overwriting.
 */
class EmbeddedPlatform : public kernel::Service {
 public:
  /** @param base_port first port for stand-ins (127.0.0.1); 0: any free. */
  explicit EmbeddedPlatform(uint16_t base_port);
  ~EmbeddedPlatform() override;
  std::string_view name() const override { return "embedded"; }
  utils::Result<void> Start(kernel::Kernel& kernel) override;
  /** @return the first engine stand-in's port (for direct benches). */
  uint16_t first_engine_port() const { return first_engine_port_; }
  /**
   * Plays the platform's lagging instance list: after `lag_ms`, writes
   * "upstreams/<address>" with state leaving (or live) into the store.
   * @param address "ip:port" of a stand-in.
   * @param leaving the state to publish.
   * @param lag_ms how late the list is.
   */
  void PublishInstanceState(const std::string& address, bool leaving,
                            int lag_ms);
  /** @return engine stand-ins, for fault injection in experiments. */
  const std::vector<std::unique_ptr<standins::EngineStandin>>& engines() const {
    return engines_;
  }
  /** @return service stand-ins, for fault injection and double counts; per
   * business: 3 plain, 2 encoders, 2 retrievers, 2 rerankers. */
  const std::vector<std::unique_ptr<standins::ServiceStandin>>& services()
      const {
    return services_;
  }

 private:
  uint16_t NextPort();

  store::ObjectStore* store_ = nullptr;
  uint16_t next_port_;
  uint16_t first_engine_port_ = 0;
  std::vector<std::unique_ptr<standins::EngineStandin>> engines_;
  std::vector<std::unique_ptr<standins::ServiceStandin>> services_;
};

}  // namespace turmeric::gateway
