#include "turmeric/gateway/embedded_stack.h"

#include "turmeric/gateway/embedded_platform.h"
#include "turmeric/gateway/gateway_service.h"
#include "turmeric/gateway/settings_service.h"
#include "turmeric/gateway/store_service.h"
#include "turmeric/store/memory_store.h"

namespace turmeric::gateway {

EmbeddedStack::EmbeddedStack()
    : store(std::make_shared<store::MemoryStore>()) {}

EmbeddedStack::~EmbeddedStack() {
  kernels.clear();
  platform.StopAll();
}

bool EmbeddedStack::Start(int instances) {
  platform.Register(std::make_unique<StoreService>(store));
  embedded = static_cast<EmbeddedPlatform*>(
      platform.Register(std::make_unique<EmbeddedPlatform>(0)));
  if (!platform.StartAll()) return false;
  for (int i = 0; i < instances; ++i) {
    config::InstanceSettings s;
    s.name = "entry-" + std::to_string(i + 1);
    s.zone = "zone-" + std::string(1, static_cast<char>('a' + i % 3));
    s.listen_port = 0;
    s.drain_grace_ms = 0;  // no balancer in front
    auto k = std::make_unique<kernel::Kernel>();
    k->Register(std::make_unique<StoreService>(store));
    k->Register(std::make_unique<SettingsService>());
    gateways.push_back(static_cast<GatewayService*>(
        k->Register(std::make_unique<GatewayService>(s))));
    if (!k->StartAll()) return false;
    kernels.push_back(std::move(k));
  }
  return true;
}

QString EmbeddedStack::Url(int instance) const {
  return "http://127.0.0.1:" + QString::number(gateways[instance]->port());
}

}  // namespace turmeric::gateway
