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
  // easylogging++'s own level order puts Info above Warning, so levels
  // are switched on one by one in the usual order instead.
  constexpr std::array<std::pair<el::Level, std::string_view>, 4> kOrder = {{
      {el::Level::Debug, "debug"},
      {el::Level::Info, "info"},
      {el::Level::Warning, "warning"},
      {el::Level::Error, "error"},
  }};
  const auto chosen = std::ranges::find(
      kOrder, level, &std::pair<el::Level, std::string_view>::second);
  bool on = chosen == kOrder.end();  // unknown level: everything on
  for (const auto& [lvl, name] : kOrder) {
    on = on || name == level;
    conf.set(lvl, el::ConfigurationType::Enabled, on ? "true" : "false");
  }
  el::Loggers::reconfigureAllLoggers(conf);
}

}  // namespace turmeric::utils
