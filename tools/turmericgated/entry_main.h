#pragma once

#include <string>

class QCoreApplication;

namespace turmeric::daemon {

/**
 * Runs an entry instance against the platform's object store until SIGTERM or
 * SIGINT; then drains and stops it. SIGHUP reloads the settings file.
 * @param app the application whose event loop is run.
 * @param settings_file path of the INI file with an [entry] section.
 * @return exit code of the process; 2 if the settings are invalid or a service
 *     cannot start.
 */
int RunEntry(QCoreApplication& app, const std::string& settings_file);

}  // namespace turmeric::daemon
