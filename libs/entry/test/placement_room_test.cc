#include <catch2/catch.hpp>
#include <cstdint>
#include <limits>
#include <memory>
#include <string>

#include "turmeric/entry/entry_context.h"
#include "turmeric/entry/entry_metrics.h"
#include "turmeric/entry/placement_coordinator.h"

using namespace std::chrono_literals;  // NOLINT(google-build-using-namespace)
using turmeric::config::EntrySettings;
using turmeric::config::Mechanism;
using turmeric::entry::EntryContext;
using turmeric::entry::EntryMetrics;
using turmeric::entry::PlacementCoordinator;
using turmeric::peer::PlacementOrder;
using turmeric::routing::Clock;
using turmeric::routing::Outcome;
using turmeric::routing::RouteTable;

namespace {

const Clock::time_point kNow = Clock::time_point(100s);

EntrySettings Settings(bool uses_room) {
  EntrySettings settings;
  if (!uses_room) settings.mechanisms.SwitchOff(Mechanism::kEngineRoom);
  return settings;
}

/** The owner of two engines with memory for one of the orders each. */
struct Owner {
  explicit Owner(bool uses_room = true, int64_t engine_tokens = 10'000)
      : context(Settings(uses_room), {}), coordinator(context) {
    auto table = std::make_shared<RouteTable>();
    table->services["llm"] = {.name = "llm",
                              .health_path = {},
                              .is_engine = true,
                              .engine_tokens = engine_tokens,
                              .stage = {}};
    context.table = table;
    context.metrics = &metrics;
    for (const char* id : {"i-0", "i-1"}) {
      context.upstreams.Put(
          {.id = id, .service = "llm", .address = "1.2.3.4:5"});
    }
  }

  std::string Place(uint64_t ticket, int output_tokens = 4000) {
    PlacementOrder order;
    order.ticket = ticket;
    order.service = "llm";
    order.shared_part = "shared";
    order.session_part = "session";
    order.shared_tokens = 1000;
    order.session_tokens = 1000;
    order.prompt_tokens = 3000;
    order.output_tokens = output_tokens;
    return coordinator.Place("entry-1", order, kNow)->entry.id;
  }

  EntryMetrics metrics;
  EntryContext context;
  PlacementCoordinator coordinator;
};

}  // namespace

// Guards against requests of one session that fill the engine which holds its
// parts, while another engine is empty.
TEST_CASE("placement room: an engine without room is passed over") {
  Owner owner;
  const std::string first = owner.Place(1);
  REQUIRE(owner.context.engine_room.Promised(first) == 7000);
  const std::string second = owner.Place(2);
  REQUIRE(second != first);
  owner.coordinator.End("entry-1", {1, Outcome::kAnswered});
  REQUIRE(owner.context.engine_room.Promised(first) == 0);
  REQUIRE(owner.Place(3) == first);
}

// Guards against requests that are refused because all engines are full, and
// against the loss of the record of this.
TEST_CASE("placement room: without room anywhere, requests queue and count") {
  Owner owner;
  for (uint64_t ticket = 1; ticket <= 3; ++ticket) owner.Place(ticket);
  owner.coordinator.Expire(kNow);
  const std::string text = owner.metrics.Render();
  REQUIRE(text.find("turmeric_placements_without_room_total{service=\"llm\"} "
                    "1") != std::string::npos);
  REQUIRE(text.find("turmeric_engine_tokens_promised{service=\"llm\"} 19000") !=
          std::string::npos);
}

// Guards against reservations of an instance that has died.
TEST_CASE("placement room: a lost instance's reservations are dropped") {
  Owner owner;
  owner.Place(1);
  owner.Place(2);
  owner.coordinator.DropInstance("entry-1");
  REQUIRE(owner.context.engine_room.Promised() == 0);
}

// Guards against a changed placement where the mechanism does not apply.
TEST_CASE("placement room: not considered if switched off or not configured") {
  Owner off(false);
  const std::string first = off.Place(1);
  REQUIRE(off.Place(2) == first);
  REQUIRE(off.context.engine_room.size() == 0);
  Owner unknown(true, 0);
  unknown.Place(1);
  unknown.Place(2);
  REQUIRE(unknown.context.engine_room.size() == 0);
  REQUIRE(unknown.metrics.Render().find("without_room_total{") ==
          std::string::npos);
}

// Guards against a peer or caller whose token counts block an engine, or make
// it seem to have more than all its memory free.
TEST_CASE("placement room: token counts out of range are limited") {
  Owner owner;
  const std::string negative = owner.Place(1, std::numeric_limits<int>::min());
  REQUIRE(owner.context.engine_room.Promised(negative) == 3000);
  const std::string huge = owner.Place(2, std::numeric_limits<int>::max());
  REQUIRE(owner.context.engine_room.Promised(huge) <= 3000 + 3000 + 10'000);
  owner.coordinator.End("entry-1", {2, std::nullopt});
  owner.coordinator.End("entry-1", {1, std::nullopt});
  REQUIRE(owner.context.engine_room.Promised() == 0);
}
