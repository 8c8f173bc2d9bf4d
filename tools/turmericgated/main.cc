// turmericgated: the instance daemon. If the settings file has an [entry]
// section, it runs an entry instance on the platform; otherwise it runs a
// gateway instance with the [instance] settings.
#include <easylogging++.h>
#include <gflags/gflags.h>

#include <QCoreApplication>
#include <csignal>
#include <memory>
#include <utility>

#include "entry_main.h"
#include "platform/settings_file.h"
#include "report_error.h"
#include "signal_pipe.h"
#include "turmeric/config/entry_settings.h"
#include "turmeric/config/instance_settings.h"
#include "turmeric/gateway/embedded_platform.h"
#include "turmeric/gateway/gateway_service.h"
#include "turmeric/gateway/membership_service.h"
#include "turmeric/gateway/settings_service.h"
#include "turmeric/gateway/store_service.h"
#include "turmeric/kernel/kernel.h"
#include "turmeric/store/memory_store.h"
#include "turmeric/store/remote_store.h"
#include "turmeric/utils/large_blocks.h"
#include "turmeric/utils/log.h"

INITIALIZE_EASYLOGGINGPP

DEFINE_string(config, "",
              "INI file with an [instance] section; empty: defaults");
DEFINE_string(store, "",
              "override instance/store: ip:port of the platform's object API, "
              "or embedded (stand-ins in this process)");
DEFINE_string(name, "", "override instance/name");
DEFINE_int32(port, -1, "override instance/listen_port");
DEFINE_string(trace_path, "",
              "override instance/trace_path (JSON-lines spans)");

namespace {
/** Value of instance/store that selects a store in this process. */
constexpr std::string_view kEmbeddedStore = "embedded";

std::shared_ptr<turmeric::store::ObjectStore> OpenStore(
    const std::string& address) {
  if (address == kEmbeddedStore) {
    return std::make_shared<turmeric::store::MemoryStore>();
  }
  turmeric::store::RemoteStoreOptions options;
  options.address = address;
  return std::make_shared<turmeric::store::RemoteStore>(options);
}
}  // namespace

int main(int argc, char* argv[]) {
  gflags::SetUsageMessage(
      "turmericgated [--config=FILE] [--store=ip:port|embedded] [--port=N]");
  gflags::ParseCommandLineFlags(&argc, &argv, true);
  QCoreApplication app(argc, argv);
  const std::string settings_file = FLAGS_config.empty()
                                        ? turmeric::platform::SettingsFilePath()
                                        : FLAGS_config;
  if (turmeric::config::HasEntrySettings(settings_file)) {
    return turmeric::daemon::RunEntry(app, settings_file);
  }
  turmeric::utils::ReturnLargeBlocks();
  turmeric::config::InstanceSettings settings;
  if (!FLAGS_config.empty()) {
    auto loaded = turmeric::config::LoadInstanceSettings(FLAGS_config);
    if (!loaded) {
      turmeric::daemon::ReportError(loaded.error());
      return 2;
    }
    settings = loaded.value();
  }
  if (FLAGS_port >= 0) settings.listen_port = static_cast<uint16_t>(FLAGS_port);
  if (!FLAGS_trace_path.empty()) settings.trace_path = FLAGS_trace_path;
  if (!FLAGS_store.empty()) settings.store = FLAGS_store;
  if (!FLAGS_name.empty()) settings.name = FLAGS_name;
  turmeric::utils::ConfigureLogging(settings.log_level);
  turmeric::kernel::Kernel kernel;
  kernel.Register(std::make_unique<turmeric::gateway::StoreService>(
      OpenStore(settings.store)));
  if (settings.store == kEmbeddedStore) {
    kernel.Register(std::make_unique<turmeric::gateway::EmbeddedPlatform>(
        settings.standin_base_port));
  }
  kernel.Register(std::make_unique<turmeric::gateway::SettingsService>());
  kernel.Register(
      std::make_unique<turmeric::gateway::MembershipService>(settings));
  auto* gateway =
      static_cast<turmeric::gateway::GatewayService*>(kernel.Register(
          std::make_unique<turmeric::gateway::GatewayService>(settings)));
  if (auto started = kernel.StartAll(); !started) {
    turmeric::daemon::ReportError(started.error());
    return 2;
  }
  bool stopping = false;
  const turmeric::daemon::SignalPipe signals([&](int number) {
    if (number == SIGHUP || std::exchange(stopping, true)) return;
    // Planned stop: refuse new requests, finish those in flight, close the
    // listening socket, then quit.
    gateway->Drain([&] { gateway->Close([&] { app.quit(); }); });
  });
  const int exit_code = app.exec();
  kernel.StopAll();
  LOG(INFO) << "event=stopped";
  return exit_code;
}
