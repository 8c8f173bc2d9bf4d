#include "turmeric/gateway/embedded_platform.h"

#include <easylogging++.h>

#include <QTimer>

#include "turmeric/config/settings_tree.h"
#include "turmeric/gateway/store_service.h"
#include "turmeric/kernel/kernel.h"
#include "turmeric/standins/engine_standin.h"
#include "turmeric/standins/service_standin.h"

namespace turmeric::gateway {

using utils::Errc;

EmbeddedPlatform::EmbeddedPlatform(uint16_t base_port)
    : next_port_(base_port) {}
EmbeddedPlatform::~EmbeddedPlatform() = default;

void EmbeddedPlatform::PublishInstanceState(const std::string& address,
                                            bool leaving, int lag_ms) {
  QTimer::singleShot(lag_ms, Qt::PreciseTimer, [this, address, leaving] {
    store_->Put("upstreams/" + address,
                leaving ? "state = leaving" : "state = live",
                store::kAnyVersion);
  });
}

uint16_t EmbeddedPlatform::NextPort() {
  // With port 0 the operating system assigns a free port (for tests and
  // in-process benchmarks).
  return next_port_ == 0 ? 0 : next_port_++;
}

utils::Result<void> EmbeddedPlatform::Start(kernel::Kernel& kernel) {
  auto* store_service = kernel.Find<StoreService>("store");
  if (!store_service) {
    return utils::Fail(Errc::kConfigInvalid, "no store service");
  }
  store::ObjectStore& store = store_service->store();
  store_ = &store;
  std::string failed;
  auto start_engines = [&](int n) {
    std::string list;
    for (int i = 0; i < n; ++i) {
      auto e = std::make_unique<standins::EngineStandin>();
      const uint16_t port = e->Listen(NextPort());
      if (port == 0) failed = "engine port";
      if (first_engine_port_ == 0) first_engine_port_ = port;
      list += (list.empty() ? "" : ",") + std::string("127.0.0.1:") +
              std::to_string(port);
      engines_.push_back(std::move(e));
    }
    return list;
  };
  auto start_services = [&](int n, double delay_ms) {
    std::string list;
    for (int i = 0; i < n; ++i) {
      auto s = std::make_unique<standins::ServiceStandin>(delay_ms);
      const uint16_t port = s->Listen(NextPort());
      if (port == 0) failed = "service port";
      list += (list.empty() ? "" : ",") + std::string("127.0.0.1:") +
              std::to_string(port);
      services_.push_back(std::move(s));
    }
    return list;
  };
  auto pool_settings = [&](const std::string& engine_pool,
                           const std::string& service_pool) {
    // One statement per pool: the operands of a single expression may be
    // evaluated in any order, and experiments address stand-ins by their index.
    std::string text = "pool." + engine_pool + ".kind = engine\n";
    text += "pool." + engine_pool + ".upstreams = " + start_engines(3) + "\n";
    text += "pool." + service_pool + ".kind = service\n";
    text +=
        "pool." + service_pool + ".upstreams = " + start_services(3, 3) + "\n";
    text += "pool.encoder.upstreams = " + start_services(2, 2) + "\n";
    text += "pool.retriever.upstreams = " + start_services(2, 4) + "\n";
    text += "pool.reranker.upstreams = " + start_services(2, 3) + "\n";
    return text;
  };
  const std::string rag =
      "stage.encode.pool = encoder\nstage.retrieve.pool = retriever\n"
      "stage.rerank.pool = reranker\n";
  const std::vector<std::pair<std::string, std::string>> seed = {
      {config::SettingsKey("group", "", ""),
       "deadline_ms = 6000\nmax_inflight = 256\nrouting = p2c_ewma\n"
       "hedge_percent = 10\n"
       "retry_budget_percent = 10\nmin_stage_ms = 5\n"},
      {config::SettingsKey("business", "nilelight", ""),
       pool_settings("llm", "panel-app")},
      {config::SettingsKey("pipeline", "nilelight", "translate-notice"),
       "stages = encode,retrieve,rerank,generate\n" + rag +
           "stage.generate.pool = llm\ndeadline_ms = 2000\n"},
      {config::SettingsKey("pipeline", "nilelight", "print-notice"),
       "stages = generate,print\nstage.generate.pool = llm\n"
       "stage.print.pool = panel-app\nstage.print.idempotent = false\n"},
      {config::SettingsKey("pipeline", "nilelight", "generate"),
       "stages = generate\nstage.generate.pool = llm\n"},
      {config::SettingsKey("organisation", "nilelight", "nile-hotels"), ""},
      {config::SettingsKey("organisation", "nilelight", "nile-clinics"),
       "max_inflight = 32\n"},
      {config::SettingsKey("business", "arvoredo", ""),
       pool_settings("canopy", "crew-portal") + "retry_budget_percent = 5\n"},
      {config::SettingsKey("pipeline", "arvoredo", "pruning-note"),
       "stages = encode,retrieve,rerank,generate\n" + rag +
           "stage.generate.pool = canopy\n"},
      {config::SettingsKey("pipeline", "arvoredo", "felling-recommendation"),
       "stages = generate,record\nstage.generate.pool = canopy\n"
       "stage.record.pool = crew-portal\nstage.record.idempotent = false\n"},
      {config::SettingsKey("organisation", "arvoredo", "camara-porto"), ""},
      {config::SettingsKey("organisation", "arvoredo", "parish-bonfim"),
       "max_inflight = 16\n"},
  };
  if (!failed.empty()) {
    return utils::Fail(Errc::kIniInvalid, "cannot listen: " + failed);
  }
  for (const auto& [key, value] : seed) {
    // Seeding is a conditional create, so that an operator's newer value is
    // kept.
    auto put = store.Put(key, value, store::kAbsent);
    if (!put && put.error().code != Errc::kStoreConflict) return put.error();
  }
  LOG(INFO) << "event=embedded_started engines=" << engines_.size()
            << " services=" << services_.size()
            << " first_engine_port=" << first_engine_port_;
  return boost::outcome_v2::success();
}

}  // namespace turmeric::gateway
