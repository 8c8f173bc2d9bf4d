#include "turmeric/utils/log.h"

#include <easylogging++.h>

#include <algorithm>
#include <array>
#include <string>
#include <utility>

namespace turmeric::utils {

void ConfigureLogging(std::string_view level) {
  el::Configurations conf;
  conf.setToDefault();
  conf.setGlobally(el::ConfigurationType::Format,
                   "ts=%datetime{%Y-%M-%dT%H:%m:%s.%g} level=%level %msg");
  conf.setGlobally(el::ConfigurationType::ToFile, "false");
  conf.setGlobally(el::ConfigurationType::ToStandardOutput, "true");
  // The level order of easylogging++ puts Info above Warning, so each level is
  // enabled separately, in the usual order.
  constexpr std::array<std::pair<el::Level, std::string_view>, 4>
      kLevelsAscending = {{
          {el::Level::Debug, "debug"},
          {el::Level::Info, "info"},
          {el::Level::Warning, "warning"},
          {el::Level::Error, "error"},
      }};
  const auto threshold = std::ranges::find(
      kLevelsAscending, level, &std::pair<el::Level, std::string_view>::second);
  bool enabled =
      threshold == kLevelsAscending.end();  // unknown level: enable all
  for (const auto& [log_level, name] : kLevelsAscending) {
    enabled = enabled || name == level;
    conf.set(log_level, el::ConfigurationType::Enabled,
             enabled ? "true" : "false");
  }
  el::Loggers::reconfigureAllLoggers(conf);
}

}  // namespace turmeric::utils
