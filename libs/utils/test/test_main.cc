#define CATCH_CONFIG_RUNNER
#include <easylogging++.h>

#include <catch2/catch.hpp>

INITIALIZE_EASYLOGGINGPP

int main(int argc, char* argv[]) {
  // Tests run with logging quiet; state-change lines would only clutter CI.
  el::Loggers::addFlag(el::LoggingFlag::HierarchicalLogging);
  el::Loggers::setLoggingLevel(el::Level::Error);
  return Catch::Session().run(argc, argv);
}
