#include "entry_main.h"

#include <QCoreApplication>
#include <chrono>
#include <csignal>
#include <memory>

#include "platform/link.h"
#include "report_error.h"
#include "signal_pipe.h"
#include "turmeric/config/entry_settings.h"
#include "turmeric/entry/entry_service.h"
#include "turmeric/kernel/kernel.h"
#include "turmeric/utils/decision_log.h"
#include "turmeric/utils/log.h"

namespace turmeric::daemon {

namespace {

constexpr int kBadSettings = 2;

void Reload(entry::EntryService& service, const std::string& settings_file) {
  auto settings = config::LoadEntrySettings(settings_file);
  if (settings) return service.Reload(settings.value());
  utils::DecisionLog("reload_refused")
      .Add("code", static_cast<int>(settings.error().code))
      .Add("detail", settings.error().detail);
}

}  // namespace

int RunEntry(QCoreApplication& app, const std::string& settings_file) {
  auto settings = config::LoadEntrySettings(settings_file);
  if (!settings) {
    ReportError(settings.error());
    return kBadSettings;
  }
  utils::ConfigureLogging(settings.value().log_level);
  std::chrono::steady_clock::time_point stopped;
  int rc = 0;
  {
    kernel::Kernel kernel;
    auto* service = static_cast<entry::EntryService*>(
        kernel.Register(std::make_unique<entry::EntryService>(
            settings.value(),
            platform::MakeLink(settings.value().store_address))));
    if (auto started = kernel.StartAll(); !started) {
      ReportError(started.error());
      return kBadSettings;
    }
    const SignalPipe signals([&](int number) {
      if (number == SIGHUP) return Reload(*service, settings_file);
      service->Drain([&app] { app.quit(); });
    });
    rc = app.exec();
    stopped = std::chrono::steady_clock::now();
    kernel.StopAll();
  }
  // The stop grace ends with the process, not with its last answer.
  utils::DecisionLog("torn_down")
      .Add("ms", std::chrono::duration_cast<std::chrono::milliseconds>(
                     std::chrono::steady_clock::now() - stopped)
                     .count());
  return rc;
}

}  // namespace turmeric::daemon
