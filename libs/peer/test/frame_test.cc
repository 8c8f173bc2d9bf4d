#include "turmeric/peer/frame.h"

#include <rapidcheck.h>

#include <catch2/catch.hpp>
#include <string>
#include <vector>

using namespace std::chrono_literals;  // NOLINT(google-build-using-namespace)
using turmeric::peer::Decode;
using turmeric::peer::Encode;
using turmeric::peer::Frame;
using turmeric::peer::ReachStatement;
using turmeric::stages::Clock;
using turmeric::stages::PieceFailure;

namespace {

Frame MakeFrame(Clock::time_point now) {
  Frame frame;
  frame.sender = "entry-1";
  frame.sequence = 3;
  frame.acknowledged = 2;
  frame.pieces.push_back({.ticket = 7,
                          .service = "registry",
                          .piece = {.request_id = "r",
                                    .stage = 2,
                                    .index = 1,
                                    .key = {},
                                    .inputs = {"1.2.3.4:1/a", "1.2.3.4:1/b"},
                                    .result_bytes = 6000,
                                    .rank = 1,
                                    .due = now + 900ms,
                                    .deadline = now + 5000ms,
                                    .zone = "zone-a",
                                    .fingerprint = "f00d",
                                    .retried = true}});
  frame.taken = {7};
  frame.done.push_back({.ticket = 8,
                        .result = {.failure = PieceFailure::kNoMemory,
                                   .handle = "h",
                                   .zone = "zone-b"}});
  frame.cancelled = {9, 10};
  frame.releases.push_back({.service = "portal", .handles = {"x", "y"}});
  frame.placements.push_back({.ticket = 11,
                              .service = "llm",
                              .shared_part = "a",
                              .session_part = "b",
                              .shared_tokens = 2500,
                              .session_tokens = 3800,
                              .prompt_tokens = 9200,
                              .zone = "zone-a",
                              .zone_cost_ms = 150,
                              .excluded = {"i-1"},
                              .version = "v1",
                              .output_tokens = 1400});
  frame.placed.push_back({.ticket = 12, .upstream = "i-2"});
  frame.prompts_read = {13};
  frame.ended = {{14, turmeric::routing::Outcome::kNotSent}, {15, {}}};
  frame.newest_revisions = {530, 1LL << 40, 531};
  frame.follow = {.wanted = true, .resync = true, .known = {16, 17, 24}};
  frame.limit_notices = {
      {"i-3@5", {.per_s = 0.5, .sent_at = now - 900ms, .received_at = now}},
      {"i-4", {.per_s = {}, .sent_at = now - 2s, .received_at = now - 1s}}};
  frame.reach = ReachStatement::kPartitioned;
  frame.brittle_notices = {
      {"i-5", {.tolerated = 3, .sent_at = now - 20ms, .received_at = now}},
      {"i-6", {.tolerated = {}, .sent_at = now - 2s, .received_at = now - 1s}}};
  frame.availability_notices = {{.upstream = "i-7@8", .leaving = true},
                                {.upstream = "i-9", .rest = 2500ms}};
  frame.versions = {{"llm", "v1"}, {"llm", "v2"}};
  frame.stream_records = {
      {.id = {"org", "attempt-1"}, .origin = {"llm", "v2"}}};
  frame.origin_queries = {
      {.ticket = 40, .id = {"org", "attempt-2"}, .services = {"llm", "app"}}};
  frame.origin_answers = {
      {.ticket = 41, .origin = {{"llm", "v1"}}, .versions = {{"app", "v3"}}},
      {.ticket = 42, .origin = {}, .versions = {}}};
  frame.permit_orders.push_back({.ticket = 30,
                                 .service = "llm",
                                 .upstream = "i-3@5",
                                 .excluded = {"i-1", "i-2"},
                                 .max_wait = 150ms,
                                 .version = "v2"});
  frame.permits = {
      {.ticket = 31, .upstream = "i-3@5", .wait = 40ms},
      {.ticket = 32, .upstream = {}, .wait = 2s, .limit_unknown = true}};
  frame.relay = {.store_age = 250ms,
                 .outage_ended = 3s,
                 .known = {18, 19, 25},
                 .config_age = 120ms};
  frame.store_changes.push_back({.kind = turmeric::peer::StoreKind::kUpstreams,
                                 .follows = 20,
                                 .revision = 23,
                                 .objects = {{.name = "i-3",
                                              .spec = "{}",
                                              .packed = false,
                                              .revision = 21,
                                              .deleted = false},
                                             {.name = "i-4",
                                              .spec = std::string("\0x", 2),
                                              .packed = true,
                                              .revision = 22,
                                              .deleted = true}},
                                 .held_before = 1ULL << 63});
  frame.crashes = {{.fingerprint = "f00d",
                    .service = "llm",
                    .upstream = "i-5@9",
                    .at = now - 1500ms,
                    .progressed = true,
                    .parts = {"llm/a", "llm/b"}}};
  frame.good_runs = {{.fingerprint = "cafe",
                      .service = "app",
                      .at = now - 2s,
                      .parts = {"llm/c"}}};
  frame.trials = {{.trait = "llm/a", .at = now - 1s}};
  return frame;
}

}  // namespace

TEST_CASE("a frame survives encoding and decoding") {
  const Clock::time_point now = Clock::now();
  const auto frame = Decode(Encode(MakeFrame(now), now), now);
  REQUIRE(frame);
  REQUIRE(frame->sender == "entry-1");
  REQUIRE(frame->sequence == 3);
  REQUIRE(frame->acknowledged == 2);
  REQUIRE(frame->pieces.size() == 1);
  REQUIRE(frame->pieces[0].piece.inputs.size() == 2);
  REQUIRE(frame->pieces[0].piece.due == now + 900ms);
  REQUIRE(frame->taken == std::vector<uint64_t>{7});
  REQUIRE(frame->done[0].result.failure == PieceFailure::kNoMemory);
  REQUIRE(frame->cancelled == std::vector<uint64_t>{9, 10});
  REQUIRE(frame->releases[0].handles == std::vector<std::string>{"x", "y"});
  REQUIRE(frame->placements.size() == 1);
  REQUIRE(frame->placements[0].session_part == "b");
  REQUIRE(frame->placements[0].prompt_tokens == 9200);
  REQUIRE(frame->placements[0].output_tokens == 1400);
  REQUIRE(frame->placements[0].excluded == std::vector<std::string>{"i-1"});
  REQUIRE(frame->placed[0].upstream == "i-2");
  REQUIRE(frame->prompts_read == std::vector<uint64_t>{13});
  REQUIRE(frame->newest_revisions.config == 530);
  REQUIRE(frame->newest_revisions.upstreams == 1LL << 40);
  REQUIRE(frame->newest_revisions.evacuations == 531);
  REQUIRE(frame->ended.size() == 2);
  REQUIRE(frame->ended[0].outcome == turmeric::routing::Outcome::kNotSent);
  REQUIRE_FALSE(frame->ended[1].outcome);
}

TEST_CASE("relayed store changes survive encoding and decoding") {
  const Clock::time_point now = Clock::now();
  const auto frame = Decode(Encode(MakeFrame(now), now), now);
  REQUIRE(frame);
  REQUIRE(frame->follow->resync);
  REQUIRE(frame->follow->known.config == 16);
  REQUIRE(frame->follow->known.upstreams == 17);
  REQUIRE(frame->follow->known.evacuations == 24);
  REQUIRE(frame->relay->store_age == 250ms);
  REQUIRE(frame->relay->outage_ended == 3s);
  REQUIRE(frame->relay->config_age == 120ms);
  REQUIRE(frame->relay->known.config == 18);
  REQUIRE(frame->relay->known.upstreams == 19);
  REQUIRE(frame->relay->known.evacuations == 25);
  REQUIRE(frame->store_changes.size() == 1);
  const auto& changes = frame->store_changes[0];
  REQUIRE(changes.kind == turmeric::peer::StoreKind::kUpstreams);
  REQUIRE(changes.follows == 20);
  REQUIRE(changes.revision == 23);
  REQUIRE(changes.objects.size() == 2);
  REQUIRE(changes.objects[0].name == "i-3");
  REQUIRE(changes.objects[0].spec == "{}");
  REQUIRE_FALSE(changes.objects[0].packed);
  REQUIRE(changes.objects[0].revision == 21);
  REQUIRE_FALSE(changes.objects[0].deleted);
  REQUIRE(changes.objects[1].spec == std::string("\0x", 2));
  REQUIRE(changes.objects[1].packed);
  REQUIRE(changes.held_before == 1ULL << 63);
  REQUIRE(changes.objects[1].deleted);
}

TEST_CASE("an empty frame decodes without store messages") {
  const Clock::time_point now = Clock::now();
  const auto frame = Decode(Encode(Frame{}, now), now);
  REQUIRE(frame);
  REQUIRE_FALSE(frame->follow);
  REQUIRE_FALSE(frame->relay);
  REQUIRE(frame->store_changes.empty());
}

TEST_CASE("crashes and good runs survive encoding and decoding") {
  const Clock::time_point now = Clock::now();
  const auto later = now + 1h;
  const auto frame = Decode(Encode(MakeFrame(now), now), later);
  REQUIRE(frame);
  REQUIRE(frame->pieces[0].piece.fingerprint == "f00d");
  REQUIRE(frame->pieces[0].piece.retried);
  REQUIRE(frame->crashes.size() == 1);
  REQUIRE(frame->crashes[0].fingerprint == "f00d");
  REQUIRE(frame->crashes[0].service == "llm");
  REQUIRE(frame->crashes[0].upstream == "i-5@9");
  REQUIRE(frame->crashes[0].at == later - 1500ms);
  REQUIRE(frame->crashes[0].progressed);
  REQUIRE(frame->good_runs.size() == 1);
  REQUIRE(frame->good_runs[0].fingerprint == "cafe");
  REQUIRE(frame->good_runs[0].service == "app");
  REQUIRE(frame->good_runs[0].at == later - 2s);
  REQUIRE(frame->crashes[0].parts ==
          std::vector<std::string>{"llm/a", "llm/b"});
  REQUIRE(frame->good_runs[0].parts == std::vector<std::string>{"llm/c"});
  REQUIRE(frame->trials.size() == 1);
  REQUIRE(frame->trials[0].trait == "llm/a");
  REQUIRE(frame->trials[0].at == later - 1s);
}

TEST_CASE("versions and origins of streams are encoded and decoded") {
  const auto now = Clock::now();
  const auto sent = MakeFrame(now);
  const auto frame = Decode(Encode(sent, now), now);
  REQUIRE(frame);
  REQUIRE(frame->placements[0].version == "v1");
  REQUIRE(frame->permit_orders[0].version == "v2");
  REQUIRE(frame->versions == sent.versions);
  REQUIRE(frame->stream_records.size() == 1);
  REQUIRE(frame->stream_records[0].id == sent.stream_records[0].id);
  REQUIRE(frame->stream_records[0].origin == sent.stream_records[0].origin);
  REQUIRE(frame->origin_queries.size() == 1);
  REQUIRE(frame->origin_queries[0].ticket == 40);
  REQUIRE(frame->origin_queries[0].id == sent.origin_queries[0].id);
  REQUIRE(frame->origin_queries[0].services ==
          std::vector<std::string>{"llm", "app"});
  REQUIRE(frame->origin_answers.size() == 2);
  REQUIRE(frame->origin_answers[0].origin == sent.origin_answers[0].origin);
  REQUIRE(frame->origin_answers[0].versions == sent.origin_answers[0].versions);
  REQUIRE_FALSE(frame->origin_answers[1].origin);
  REQUIRE(frame->origin_answers[1].versions.empty());
}

TEST_CASE("limits, permit orders and permits are encoded and decoded") {
  const auto now = Clock::now();
  const auto later = now + 10s;
  const auto frame = Decode(Encode(MakeFrame(now), now), later);
  REQUIRE(frame);
  REQUIRE(frame->limit_notices.size() == 2);
  REQUIRE(frame->limit_notices[0].upstream == "i-3@5");
  REQUIRE(frame->limit_notices[0].statement.per_s == 0.5);
  REQUIRE(frame->limit_notices[0].statement.sent_at == later - 900ms);
  REQUIRE(frame->limit_notices[0].statement.received_at == later);
  REQUIRE_FALSE(frame->limit_notices[1].statement.per_s);
  REQUIRE(frame->reach == ReachStatement::kPartitioned);
  REQUIRE(frame->brittle_notices.size() == 2);
  REQUIRE(frame->brittle_notices[0].upstream == "i-5");
  REQUIRE(frame->brittle_notices[0].statement.tolerated == 3);
  REQUIRE(frame->brittle_notices[0].statement.sent_at == later - 20ms);
  REQUIRE(frame->brittle_notices[0].statement.received_at == later);
  REQUIRE_FALSE(frame->brittle_notices[1].statement.tolerated);
  REQUIRE(frame->availability_notices.size() == 2);
  REQUIRE(frame->availability_notices[1].rest == 2500ms);
  REQUIRE_FALSE(frame->availability_notices[1].leaving);
  REQUIRE(frame->availability_notices[0].upstream == "i-7@8");
  REQUIRE(frame->availability_notices[0].leaving);
  REQUIRE(frame->permit_orders.size() == 1);
  REQUIRE(frame->permit_orders[0].ticket == 30);
  REQUIRE(frame->permit_orders[0].service == "llm");
  REQUIRE(frame->permit_orders[0].upstream == "i-3@5");
  REQUIRE(frame->permit_orders[0].excluded ==
          std::vector<std::string>{"i-1", "i-2"});
  REQUIRE(frame->permit_orders[0].max_wait == 150ms);
  REQUIRE(frame->permits.size() == 2);
  REQUIRE(frame->permits[0].upstream == "i-3@5");
  REQUIRE(frame->permits[0].wait == 40ms);
  REQUIRE_FALSE(frame->permits[0].limit_unknown);
  REQUIRE(frame->permits[1].ticket == 32);
  REQUIRE(frame->permits[1].upstream.empty());
  REQUIRE(frame->permits[1].limit_unknown);
}

// The clocks of two instances may differ by any amount. Times are sent relative
// to the sender's clock and added to the receiver's, so a piece has the same
// time left on both.
TEST_CASE("decoded times are relative to the receiver's clock") {
  const Clock::time_point now = Clock::now();
  const auto later = now + 1h;
  const auto frame = Decode(Encode(MakeFrame(now), now), later);
  REQUIRE(frame);
  REQUIRE(frame->pieces[0].piece.due == later + 900ms);
}

TEST_CASE("a frame carries demand reports and share plans") {
  const auto now = Clock::now();
  Frame frame;
  frame.demand_reports.push_back(
      {.service = "app",
       .in_progress = 7,
       .slots = 24,
       .served = 1200.5,
       .demands = {{"org", 900.25, 1}, {"", 3, 1}, {"(others)", 50, 12}}});
  frame.share_plans.push_back(
      {.service = "app",
       .plan = {.level = 300, .limited = {{"org", 0.25, 1200}}}});
  frame.share_plans.push_back({.service = "web", .plan = {}});
  const auto decoded = Decode(Encode(frame, now), now);
  REQUIRE(decoded);
  REQUIRE(decoded->demand_reports.size() == 1);
  const auto& report = decoded->demand_reports[0];
  CHECK(report.service == "app");
  CHECK(report.in_progress == 7);
  CHECK(report.slots == 24);
  CHECK(report.served == 1200.5);
  REQUIRE(report.demands.size() == 3);
  CHECK(report.demands[0].demand == 900.25);
  CHECK(report.demands[1].organisation.empty());
  CHECK(report.demands[2].organisations == 12);
  REQUIRE(decoded->share_plans.size() == 2);
  const auto& plan = decoded->share_plans[0].plan;
  CHECK(plan.level == 300);
  REQUIRE(plan.limited.size() == 1);
  CHECK(plan.limited[0].organisation == "org");
  CHECK(plan.limited[0].fraction == 0.25);
  CHECK(plan.limited[0].demand == 1200);
  CHECK(decoded->share_plans[1].plan.limited.empty());
}

// A process that is not an instance connects to the peer port, or bytes are
// corrupted in transit. Decoding must neither read past the received bytes nor
// crash.
TEST_CASE("decoding a corrupted frame stays within its bytes") {
  REQUIRE(rc::check("any change of a frame", [] {
    const Clock::time_point now = Clock::now();
    std::vector<uint8_t> bytes = Encode(MakeFrame(now), now);
    const auto changes = *rc::gen::inRange(1, 8);
    for (int i = 0; i < changes; ++i) {
      const auto at = *rc::gen::inRange<size_t>(0, bytes.size());
      bytes[at] = *rc::gen::arbitrary<uint8_t>();
    }
    const auto size = *rc::gen::inRange<size_t>(0, bytes.size() + 1);
    (void)Decode(std::span(bytes).first(size), now);
  }));
}
