#define CATCH_CONFIG_RUNNER
#include <easylogging++.h>

#include <QCoreApplication>
#include <catch2/catch.hpp>

#include "turmeric/utils/log.h"

INITIALIZE_EASYLOGGINGPP

int main(int argc, char* argv[]) {
  // The event loop of this thread runs the Qt servers and clients under test.
  QCoreApplication app(argc, argv);
  turmeric::utils::ConfigureLogging("error");
  return Catch::Session().run(argc, argv);
}
