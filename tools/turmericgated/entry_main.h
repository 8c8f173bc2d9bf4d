#pragma once

#include <string>

class QCoreApplication;

namespace turmeric::daemon {

/**
 * Runs an entry instance on the platform until it is told to stop.
 * @param app the application. @param settings_file INI with [entry].
 * @return the process's exit code; 2 for bad settings.
 */
int RunEntry(QCoreApplication& app, const std::string& settings_file);

}  // namespace turmeric::daemon
