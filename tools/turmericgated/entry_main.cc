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

/** Exit status for unreadable or invalid settings and for a failed start. */
constexpr int kExitBadSettings = 2;

/** Applies the settings file again; if it is invalid, the settings in use stay
 * in force and the refusal is logged. */
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
    return kExitBadSettings;
  }
  utils::ConfigureLogging(settings.value().log_level);
  std::chrono::steady_clock::time_point loop_ended;
  int exit_code = 0;
  {
    kernel::Kernel kernel;
    auto* service = static_cast<entry::EntryService*>(
        kernel.Register(std::make_unique<entry::EntryService>(
            settings.value(),
            platform::MakeLink(settings.value().store_address))));
    if (auto started = kernel.StartAll(); !started) {
      ReportError(started.error());
      return kExitBadSettings;
    }
    const SignalPipe signals([&](int number) {
      if (number == SIGHUP) return Reload(*service, settings_file);
      service->Drain([&app] { app.quit(); });
    });
    exit_code = app.exec();
    loop_ended = std::chrono::steady_clock::now();
    kernel.StopAll();
  }
  // The stop grace period runs until the process has exited, not until its
  // last response, so the duration of the teardown is logged as well.
  utils::DecisionLog("torn_down")
      .Add("ms", std::chrono::duration_cast<std::chrono::milliseconds>(
                     std::chrono::steady_clock::now() - loop_ended)
                     .count());
  return exit_code;
}

}  // namespace turmeric::daemon
