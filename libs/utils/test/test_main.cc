#define CATCH_CONFIG_RUNNER
#include <catch2/catch.hpp>
#include <easylogging++.h>

INITIALIZE_EASYLOGGINGPP

int main(int argc, char* argv[]) {
  // Tests run with logging quiet; state-change lines would only clutter CI.
  el::Loggers::setLoggingLevel(el::Level::Error);
  return Catch::Session().run(argc, argv);
}
