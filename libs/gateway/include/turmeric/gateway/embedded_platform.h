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
 * Service "embedded": starts the upstream stand-ins in-process on loopback and
 * seeds the settings tree with two example businesses (notice translation of
 * Nilelight, pruning notes of Arvoredo), so that a single command serves real
 * requests. Seeds only absent keys and never overwrites.
 */
class EmbeddedPlatform : public kernel::Service {
 public:
  /**
   * @param base_port first port for stand-ins (127.0.0.1); 0: any free port.
   */
  explicit EmbeddedPlatform(uint16_t base_port);
  ~EmbeddedPlatform() override;
  std::string_view name() const override { return "embedded"; }
  utils::Result<void> Start(kernel::Kernel& kernel) override;
  /**
   * @return port of the first engine stand-in, for direct access without a
   *     gateway.
   */
  uint16_t first_engine_port() const { return first_engine_port_; }
  /**
   * Emulates the platform's delayed instance list: after `lag_ms`, writes
   * "upstreams/<address>" with state leaving (or live) into the store.
   * @param address "ip:port" of a stand-in.
   * @param leaving the state to publish.
   * @param lag_ms delay of the list in ms.
   */
  void PublishInstanceState(const std::string& address, bool leaving,
                            int lag_ms);
  /** @return engine stand-ins, for fault injection in experiments. */
  const std::vector<std::unique_ptr<standins::EngineStandin>>& engines() const {
    return engines_;
  }
  /**
   * @return service stand-ins, for fault injection and for counting duplicate
   *     executions; per business: 3 plain services, 2 encoders, 2 retrievers, 2
   *     rerankers.
   */
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
