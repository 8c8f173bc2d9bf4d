#define CATCH_CONFIG_RUNNER
#include <easylogging++.h>

#include <catch2/catch.hpp>

#include "turmeric/utils/log.h"

INITIALIZE_EASYLOGGINGPP

int main(int argc, char* argv[]) {
  // Tests run with logging quiet; state-change lines would only clutter CI.
  turmeric::utils::ConfigureLogging("error");
  return Catch::Session().run(argc, argv);
}
