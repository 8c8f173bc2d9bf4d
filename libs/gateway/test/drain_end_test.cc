// What callers get when a planned stop reaches its end with requests open.
#include <catch2/catch.hpp>

#include "path_helpers.h"
#include "turmeric/gateway/gateway_service.h"

namespace turmeric::gateway {
using testing::Wait;

TEST_CASE("a planned stop under way does not outlive its instance") {
  // A load test stops one of its instances and takes it down before the stop
  // has ended; other instances of the process go on. The stop's timer lived
  // on without its instance and the next tick brought the whole process down.
  EmbeddedStack stack;
  REQUIRE(stack.Start(1));
  bool ended = false;
  stack.gateways[0]->Drain([&] { ended = true; });
  stack.kernels.clear();
  stack.gateways.clear();
  Wait(100);
  CHECK_FALSE(ended);
}

}  // namespace turmeric::gateway
