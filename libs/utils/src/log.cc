#include "turmeric/utils/log.h"

#include <easylogging++.h>

#include <string>

namespace turmeric::utils {

void ConfigureLogging(std::string_view level) {
  el::Configurations conf;
  conf.setToDefault();
  conf.setGlobally(el::ConfigurationType::Format,
                   "ts=%datetime{%Y-%M-%dT%H:%m:%s.%g} level=%level %msg");
  conf.setGlobally(el::ConfigurationType::ToFile, "false");
  conf.setGlobally(el::ConfigurationType::ToStandardOutput, "true");
  el::Loggers::reconfigureAllLoggers(conf);
  el::Level min = el::Level::Info;
  if (level == "debug") min = el::Level::Debug;
  if (level == "warning") min = el::Level::Warning;
  if (level == "error") min = el::Level::Error;
  el::Loggers::addFlag(el::LoggingFlag::HierarchicalLogging);
  el::Loggers::setLoggingLevel(min);
}

}  // namespace turmeric::utils
