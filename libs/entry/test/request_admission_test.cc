#include "turmeric/entry/request_admission.h"

#include <catch2/catch.hpp>

#include "turmeric/entry/stream_forwarder.h"
#include "turmeric/entry/wire_format.h"

using namespace std::chrono_literals;  // NOLINT(google-build-using-namespace)
using turmeric::entry::Admission;
using turmeric::entry::AdmissionRefusal;
using turmeric::entry::AdmissionState;
using turmeric::entry::Admit;
using turmeric::entry::CallerRequest;
using turmeric::entry::StreamForwarder;
using turmeric::routing::Clock;
using turmeric::routing::RequestKind;
using turmeric::routing::Route;
using turmeric::routing::RouteTable;

namespace {

const Clock::time_point kNow = Clock::time_point(100s);

RouteTable MakeTable() {
  RouteTable table;
  for (const bool is_public : {false, true}) {
    Route route;
    route.host = "h";
    route.path_prefix = is_public ? "/open/" : "/closed/";
    route.kind = RequestKind::kStream;
    route.timeout = 6000ms;
    route.priority = 2;
    route.is_public = is_public;
    table.routes.push_back(route);
  }
  table.has_organisations = true;
  table.organisation_by_key["key"] = {.name = "org", .priority = {}};
  table.organisation_by_key["first"] = {.name = "org-0", .priority = 0};
  return table;
}

CallerRequest MakeRequest(std::string target, std::string key) {
  CallerRequest request;
  request.host = "h";
  request.target = std::move(target);
  request.key = std::move(key);
  return request;
}

AdmissionState Ready(const RouteTable& table) {
  return {.table = &table,
          .upstreams_known = true,
          .since_stop = {},
          .stop_grace = 8000ms};
}

}  // namespace

TEST_CASE("nothing is known: not ready, whatever is asked") {
  REQUIRE(Admit(MakeRequest("/closed/x", "key"), {}, kNow).refusal ==
          AdmissionRefusal::kNotReady);
  REQUIRE(Admit(MakeRequest("/closed/x", "key"), {.store_away = true}, kNow)
              .refusal == AdmissionRefusal::kStoreAway);
}

TEST_CASE("what no configuration allows is refused for good, nothing else") {
  using turmeric::entry::IsFinal;
  REQUIRE(IsFinal(AdmissionRefusal::kNoRoute));
  REQUIRE(IsFinal(AdmissionRefusal::kUnknownKey));
  for (const auto refusal :
       {AdmissionRefusal::kNone, AdmissionRefusal::kNotReady,
        AdmissionRefusal::kStoreAway, AdmissionRefusal::kStopping,
        AdmissionRefusal::kConfigUnsure}) {
    REQUIRE_FALSE(IsFinal(refusal));
  }
}

TEST_CASE("route and key decide") {
  const RouteTable table = MakeTable();
  const AdmissionState state = Ready(table);
  const auto refusal = [&](const char* target, const char* key) {
    return Admit(MakeRequest(target, key), state, kNow).refusal;
  };
  REQUIRE(refusal("/closed/x", "key") == AdmissionRefusal::kNone);
  REQUIRE(refusal("/closed/x", "wrong") == AdmissionRefusal::kUnknownKey);
  REQUIRE(refusal("/closed/x", "") == AdmissionRefusal::kUnknownKey);
  REQUIRE(refusal("/open/x", "") == AdmissionRefusal::kNone);
  REQUIRE(refusal("/none/x", "key") == AdmissionRefusal::kNoRoute);
}

TEST_CASE("the final answer is due at the timeout or before the deadline") {
  const RouteTable table = MakeTable();
  CallerRequest request = MakeRequest("/closed/x", "key");
  REQUIRE(Admit(request, Ready(table), kNow).limit == kNow + 6000ms);
  request.deadline = 1000ms;
  const auto limit = Admit(request, Ready(table), kNow).limit;
  REQUIRE(limit < kNow + 1000ms);
  REQUIRE(limit > kNow + 900ms);
}

TEST_CASE("an organisation's rank goes before its route's") {
  const RouteTable table = MakeTable();
  const auto usual = Admit(MakeRequest("/closed/x", "key"), Ready(table), kNow);
  const auto first =
      Admit(MakeRequest("/closed/x", "first"), Ready(table), kNow);
  REQUIRE(first.rank < usual.rank);
  REQUIRE(usual.rank <= 9);
}

TEST_CASE("a stopping instance still says what it would not serve anyway") {
  const RouteTable table = MakeTable();
  AdmissionState state = Ready(table);
  state.since_stop = 7000ms;
  REQUIRE(Admit(MakeRequest("/closed/x", "key"), state, kNow).refusal ==
          AdmissionRefusal::kStopping);
  REQUIRE(Admit(MakeRequest("/none/x", "key"), state, kNow).refusal ==
          AdmissionRefusal::kNoRoute);
}

// Story: an engine dies, and the engine that goes on repeats the last event
// before the caller's place. The caller must see each event once.
TEST_CASE("a relay passes each event once over several runs") {
  StreamForwarder relay;
  REQUIRE(relay.Feed("id: 1\ndata: a\n\nid: 2\nda") == "id: 1\ndata: a\n\n");
  REQUIRE(relay.inside_event());
  relay.OnRunEnded();
  REQUIRE(relay.last_event_id() == 1);
  REQUIRE(relay.Feed("id: 1\ndata: a\n\nid: 2\ndata: b\n\n") ==
          "id: 2\ndata: b\n\n");
  REQUIRE(relay.events() == 2);
  REQUIRE_FALSE(relay.inside_event());
}

TEST_CASE("what may be taken elsewhere or later says when to return") {
  using turmeric::entry::AnswerTo;
  using turmeric::entry::ComeBack;
  REQUIRE(AnswerTo(AdmissionRefusal::kStopping).come_back == ComeBack::kAtOnce);
  REQUIRE(AnswerTo(AdmissionRefusal::kNotReady).come_back == ComeBack::kLater);
  REQUIRE(AnswerTo(AdmissionRefusal::kStoreAway).come_back ==
          ComeBack::kAfterOutage);
  REQUIRE(AnswerTo(AdmissionRefusal::kNoRoute).status == 404);
  REQUIRE_FALSE(AnswerTo(AdmissionRefusal::kNoRoute).come_back.has_value());
  REQUIRE(AnswerTo(AdmissionRefusal::kUnknownKey).status == 401);
  REQUIRE(AnswerTo(AdmissionRefusal::kConfigUnsure).status == 503);
  REQUIRE(AnswerTo(AdmissionRefusal::kConfigUnsure).come_back ==
          ComeBack::kLater);
  REQUIRE_FALSE(AnswerTo(AdmissionRefusal::kUnknownKey).come_back.has_value());
}

// Story: in a burst a chat with a deadline of twenty seconds waits for its
// stages. Its caller gives up after eight, when nothing has come; the work
// goes on for nobody, and the caller was never told to come back.
TEST_CASE("a stream must begin while its caller still waits") {
  RouteTable table = MakeTable();
  for (Route& route : table.routes) {
    route.timeout = 20s;
    route.first_byte_timeout = 7600ms;
  }
  CallerRequest request = MakeRequest("/closed/x", "key");
  const auto admission = Admit(request, Ready(table), kNow);
  REQUIRE(admission.limit == kNow + 20s);
  REQUIRE(admission.first_byte_limit < kNow + 7600ms);
  REQUIRE(admission.first_byte_limit > kNow + 7500ms);
  request.deadline = 3000ms;
  const auto shorter = Admit(request, Ready(table), kNow);
  REQUIRE(shorter.first_byte_limit == shorter.limit);
}

// An instance that stops takes a chat of twenty seconds. Its stages were
// planned for a time at which the process would have gone, and it learnt only
// then that they would be late.
TEST_CASE("while stopping, an answer must begin before the process ends") {
  RouteTable table = MakeTable();
  for (Route& route : table.routes) route.timeout = 20s;
  AdmissionState state = Ready(table);
  state.since_stop = 2000ms;
  const auto admission = Admit(MakeRequest("/closed/x", "key"), state, kNow);
  REQUIRE(admission.refusal == AdmissionRefusal::kNone);
  REQUIRE(admission.first_byte_limit < kNow + 6000ms);
  REQUIRE(admission.first_byte_limit > kNow + 5000ms);
}

// A stream was reset in the middle 15 ms before its caller's deadline, four of
// its five events passed on: the margin in which a last answer still travels
// was held against an answer that was already on its way. A caller leaves by
// itself at its deadline; until then it gets what comes.
TEST_CASE("a stream that has begun goes on to its caller's deadline") {
  RouteTable table = MakeTable();
  for (Route& route : table.routes) route.timeout = 6000ms;
  CallerRequest request = MakeRequest("/closed/x", "key");
  request.deadline = 1000ms;
  const auto admission = Admit(request, Ready(table), kNow);
  REQUIRE(admission.limit < kNow + 1000ms);
  REQUIRE(admission.stream_limit > kNow + 1000ms);
  REQUIRE(admission.stream_limit <= kNow + 1500ms);
  request.deadline = 9000ms;
  REQUIRE(Admit(request, Ready(table), kNow).stream_limit == kNow + 6000ms);
}
