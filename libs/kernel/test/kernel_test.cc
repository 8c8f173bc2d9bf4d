#include "turmeric/kernel/kernel.h"

#include <catch2/catch.hpp>

namespace {

class RecordingService : public turmeric::kernel::Service {
 public:
  RecordingService(std::string_view service_name, std::vector<std::string>* log)
      : name_(service_name), log_(log) {}
  std::string_view name() const override { return name_; }
  turmeric::utils::Result<void> Start(turmeric::kernel::Kernel&) override {
    log_->push_back("start " + std::string(name_));
    return boost::outcome_v2::success();
  }
  void Stop() override { log_->push_back("stop " + std::string(name_)); }

 private:
  std::string_view name_;
  std::vector<std::string>* log_;
};

}  // namespace

TEST_CASE("services are found by name and stopped in reverse order") {
  std::vector<std::string> log;
  {
    turmeric::kernel::Kernel kernel;
    kernel.Register(std::make_unique<RecordingService>("a", &log));
    kernel.Register(std::make_unique<RecordingService>("b", &log));
    REQUIRE(kernel.StartAll());
    CHECK(kernel.Find<RecordingService>("b") != nullptr);
    CHECK(kernel.Find<RecordingService>("c") == nullptr);
  }
  CHECK(log ==
        std::vector<std::string>{"start a", "start b", "stop b", "stop a"});
}
