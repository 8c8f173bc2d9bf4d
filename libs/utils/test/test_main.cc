#define CATCH_CONFIG_RUNNER
#include <easylogging++.h>

#include <catch2/catch.hpp>

#include "turmeric/utils/log.h"

INITIALIZE_EASYLOGGINGPP

int main(int argc, char* argv[]) {
  // Suppresses lines below level error, which would clutter the test output.
  turmeric::utils::ConfigureLogging("error");
  return Catch::Session().run(argc, argv);
}
