#define CATCH_CONFIG_RUNNER
#include <easylogging++.h>

#include <QCoreApplication>
#include <catch2/catch.hpp>

INITIALIZE_EASYLOGGINGPP

int main(int argc, char* argv[]) {
  // Path tests run real Qt servers and clients on loopback in this thread.
  QCoreApplication app(argc, argv);
  el::Loggers::addFlag(el::LoggingFlag::HierarchicalLogging);
  el::Loggers::setLoggingLevel(el::Level::Error);
  return Catch::Session().run(argc, argv);
}
