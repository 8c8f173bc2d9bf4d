#include "turmeric/kernel/kernel.h"

#include <catch2/catch.hpp>

namespace {

class Named : public turmeric::kernel::Service {
 public:
  Named(std::string_view n, std::vector<std::string>* log) : n_(n), log_(log) {}
  std::string_view name() const override { return n_; }
  turmeric::utils::Result<void> Start(turmeric::kernel::Kernel&) override {
    log_->push_back("start " + std::string(n_));
    return boost::outcome_v2::success();
  }
  void Stop() override { log_->push_back("stop " + std::string(n_)); }

 private:
  std::string_view n_;
  std::vector<std::string>* log_;
};

}  // namespace

TEST_CASE("services are found by name and stopped in reverse order") {
  std::vector<std::string> log;
  {
    turmeric::kernel::Kernel k;
    k.Register(std::make_unique<Named>("a", &log));
    k.Register(std::make_unique<Named>("b", &log));
    REQUIRE(k.StartAll());
    CHECK(k.Find<Named>("b") != nullptr);
    CHECK(k.Find<Named>("c") == nullptr);
  }
  CHECK(log ==
        std::vector<std::string>{"start a", "start b", "stop b", "stop a"});
}
