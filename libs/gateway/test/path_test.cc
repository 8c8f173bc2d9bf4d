// Whole-path tests: the embedded platform and entry instances in-process,
// real HTTP on loopback, faults injected at the stand-ins.
#include <QElapsedTimer>
#include <QEventLoop>
#include <QJsonDocument>
#include <QJsonObject>
#include <QNetworkAccessManager>
#include <QNetworkReply>
#include <QTimer>
#include <catch2/catch.hpp>

#include "path_helpers.h"
#include "turmeric/gateway/embedded_platform.h"
#include "turmeric/gateway/embedded_stack.h"
#include "turmeric/gateway/gateway_service.h"
#include "turmeric/http/http_call.h"
#include "turmeric/standins/engine_standin.h"
#include "turmeric/standins/service_standin.h"
#include "turmeric/store/memory_store.h"

using turmeric::gateway::EmbeddedStack;
using turmeric::gateway::testing::Body;
using turmeric::gateway::testing::Executions;
using turmeric::gateway::testing::Json;
using turmeric::gateway::testing::RunUrl;
using turmeric::gateway::testing::Wait;
using turmeric::http::HttpCall;
using turmeric::http::HttpResponse;

TEST_CASE("a planned stop cuts nothing in flight") {
  // An operator stops an entry instance while receptionists' requests are
  // being generated. Each request already taken must still get its whole
  // answer; only requests arriving after the stop are refused, as not run.
  EmbeddedStack stack;
  REQUIRE(stack.Start(1));
  for (const auto& e : stack.embedded->engines()) {
    e->SetFaults({.slow_factor = 10});
  }
  QNetworkAccessManager network;
  std::vector<QNetworkReply*> replies;
  for (int i = 0; i < 5; ++i) {
    QNetworkRequest r{QUrl(RunUrl(stack, 0, "nilelight", "generate"))};
    r.setHeader(QNetworkRequest::ContentTypeHeader, "application/json");
    replies.push_back(network.post(r, Body("nile-hotels", "room 4 moved")));
  }
  Wait(30);
  bool drained = false;
  stack.gateways[0]->Drain([&] { drained = true; });
  const HttpResponse late =
      HttpCall(network, "POST", RunUrl(stack, 0, "nilelight", "generate"),
               Body("nile-hotels", "too late"));
  CHECK(late.status == 503);
  CHECK(Json(late).value("code").toInt() == 2003);
  CHECK(Json(late).value("state").toString() == "not_run");
  for (int i = 0; i < 200 && !drained; ++i) Wait(10);
  CHECK(drained);
  for (QNetworkReply* r : replies) {
    REQUIRE(r->isFinished());
    CHECK(QJsonDocument::fromJson(r->readAll())
              .object()
              .value("state")
              .toString() == "ran");
  }
}

TEST_CASE("a leaving upstream gets no new work after it says so") {
  // A Nilelight engine is being replaced. After its first refusal no
  // request may be sent to it again; every notice still gets generated.
  EmbeddedStack stack;
  REQUIRE(stack.Start(1));
  const auto& leaving = stack.embedded->engines()[0];
  leaving->SetFaults({.leaving = true});
  QNetworkAccessManager network;
  for (int i = 0; i < 30; ++i) {
    const HttpResponse a =
        HttpCall(network, "POST", RunUrl(stack, 0, "nilelight", "generate"),
                 Body("nile-hotels", "notice"));
    CHECK(Json(a).value("state").toString() == "ran");
  }
  CHECK(leaving->refused_leaving() <= 1);
  CHECK(leaving->served() == 0);
}

TEST_CASE("an upstream the instance list marks leaving gets no new work") {
  // The platform is replacing a Nilelight engine: its instance list says
  // "leaving" while the engine still answers. If instances kept sending to
  // it, requests would be cut when it finally stops.
  EmbeddedStack stack;
  REQUIRE(stack.Start(1));
  const auto& engine = stack.embedded->engines()[0];
  stack.embedded->PublishInstanceState(
      "127.0.0.1:" + std::to_string(engine->port()), true, 0);
  Wait(20);
  const int64_t before = engine->received();
  QNetworkAccessManager network;
  for (int i = 0; i < 30; ++i) {
    const HttpResponse a =
        HttpCall(network, "POST", RunUrl(stack, 0, "nilelight", "generate"),
                 Body("nile-hotels", "notice"));
    CHECK(Json(a).value("state").toString() == "ran");
  }
  CHECK(engine->received() == before);
}

TEST_CASE("a non-idempotent retry through another instance is replayed") {
  // A parish crew's app times out and resends its felling recommendation
  // with the same key; the balancer sends it to another instance. The crew
  // portal must record it once, and the retry must get the first answer.
  EmbeddedStack stack;
  REQUIRE(stack.Start(2));
  QNetworkAccessManager network;
  const QList<QPair<QByteArray, QByteArray>> key = {
      {"Idempotency-Key", "tree-881"}};
  const HttpResponse first = HttpCall(
      network, "POST", RunUrl(stack, 0, "arvoredo", "felling-recommendation"),
      Body("parish-bonfim", "lime 881", false), key);
  REQUIRE(Json(first).value("state").toString() == "ran");
  const HttpResponse retry = HttpCall(
      network, "POST", RunUrl(stack, 1, "arvoredo", "felling-recommendation"),
      Body("parish-bonfim", "lime 881", false), key);
  CHECK(Json(retry).value("state").toString() == "ran");
  CHECK(Json(retry).value("output") == Json(first).value("output"));
  CHECK(Executions(stack,
                   "arvoredo/parish-bonfim/felling-recommendation/tree-881") ==
        1);
}

TEST_CASE("a store outage refuses non-idempotent work without saying not run") {
  // The platform's store is down when a notice is to be printed. Nothing is
  // printed, but the instance cannot see whether an earlier attempt with the
  // key printed it, so the caller hears "unknown" (never "not run"); its
  // retry after the outage prints exactly once.
  EmbeddedStack stack;
  REQUIRE(stack.Start(1));
  QNetworkAccessManager network;
  const QList<QPair<QByteArray, QByteArray>> key = {
      {"Idempotency-Key", "notice-9"}};
  stack.store->SetFaults({.outage = true});
  const HttpResponse down =
      HttpCall(network, "POST", RunUrl(stack, 0, "nilelight", "print-notice"),
               Body("nile-hotels", "floor 2", false), key);
  CHECK(Json(down).value("code").toInt() == 5001);
  CHECK(Json(down).value("state").toString() == "unknown");
  CHECK(Json(down).value("retry_after_ms").toInt() == 250);
  CHECK(Executions(stack, "nilelight/nile-hotels/print-notice/notice-9") == 0);
  stack.store->SetFaults({});
  Wait(1100);  // the claim release queued during the outage is retried
  const HttpResponse again =
      HttpCall(network, "POST", RunUrl(stack, 0, "nilelight", "print-notice"),
               Body("nile-hotels", "floor 2", false), key);
  CHECK(Json(again).value("state").toString() == "ran");
  CHECK(Executions(stack, "nilelight/nile-hotels/print-notice/notice-9") == 1);
}

TEST_CASE("a retry is never told not run after an earlier attempt ran") {
  // Found by the faults scenario (not_run_but_ran = 3): a notice printed
  // through one instance, whose answer the caller never got; the caller's
  // retry reached another instance while the store was down (or that
  // instance was draining) and heard "not run". It had been printed.
  EmbeddedStack stack;
  REQUIRE(stack.Start(2));
  QNetworkAccessManager network;
  const QList<QPair<QByteArray, QByteArray>> key = {
      {"Idempotency-Key", "notice-12"}};
  const HttpResponse first =
      HttpCall(network, "POST", RunUrl(stack, 0, "nilelight", "print-notice"),
               Body("nile-hotels", "room 12", false), key);
  REQUIRE(Json(first).value("state").toString() == "ran");
  stack.store->SetFaults({.outage = true});
  const HttpResponse outage =
      HttpCall(network, "POST", RunUrl(stack, 1, "nilelight", "print-notice"),
               Body("nile-hotels", "room 12", false), key);
  CHECK(Json(outage).value("state").toString() != "not_run");
  stack.store->SetFaults({});
  stack.gateways[1]->Drain([] {});
  const HttpResponse draining =
      HttpCall(network, "POST", RunUrl(stack, 1, "nilelight", "print-notice"),
               Body("nile-hotels", "room 12", false), key);
  CHECK(Json(draining).value("code").toInt() == 2003);
  CHECK(Json(draining).value("state").toString() != "not_run");
}

TEST_CASE("bad input gets a numbered error and runs nothing") {
  EmbeddedStack stack;
  REQUIRE(stack.Start(1));
  QNetworkAccessManager network;
  const HttpResponse org =
      HttpCall(network, "POST", RunUrl(stack, 0, "nilelight", "generate"),
               Body("nobody", "x"));
  CHECK(org.status == 404);
  CHECK(Json(org).value("code").toInt() == 1003);
  const HttpResponse json = HttpCall(
      network, "POST", RunUrl(stack, 0, "nilelight", "generate"), "{not json");
  CHECK(Json(json).value("code").toInt() == 1001);
  const HttpResponse key =
      HttpCall(network, "POST", RunUrl(stack, 0, "nilelight", "print-notice"),
               Body("nile-hotels", "x", false));
  CHECK(Json(key).value("code").toInt() == 1005);
  const HttpResponse cfg =
      HttpCall(network, "PUT", stack.Url(0) + "/v1/config/group",
               "deadlin_ms = 5", {{"If-Match", "1"}});
  CHECK(Json(cfg).value("code").toInt() == 6002);
  const HttpResponse race =
      HttpCall(network, "PUT", stack.Url(0) + "/v1/config/group",
               "deadline_ms = 5000", {{"If-Match", "99"}});
  CHECK(Json(race).value("code").toInt() == 6003);
}

TEST_CASE("a stream cut half way goes on without a doubled token") {
  // An engine dies after three of eight tokens of a receptionist's streamed
  // answer. The stream goes on at another engine from the fourth. Before,
  // the retry began anew and the caller read the first three twice.
  EmbeddedStack stack;
  REQUIRE(stack.Start(1));
  const auto& cutting = stack.embedded->engines()[0];
  cutting->SetFaults({.cut_stream_after = 3});
  QNetworkAccessManager network;
  for (int i = 0; i < 10; ++i) {
    const HttpResponse a =
        HttpCall(network, "POST", RunUrl(stack, 0, "nilelight", "generate"),
                 R"({"organisation":"nile-hotels","input":"a b c d e f g h",)"
                 R"("max_tokens":8,"stream":true})");
    QByteArray tokens;
    for (const QByteArray& line : a.body.split('\n')) {
      const auto event = QJsonDocument::fromJson(line.mid(5)).object();
      tokens += event.value("token").toString().toUtf8();
    }
    CHECK(tokens == "abcdefgh");
    CHECK(a.body.contains(R"("output":"a b c d e f g h")"));
  }
  CHECK(cutting->received() > 0);
}

TEST_CASE("a print whose answer is lost is unknown and printed once") {
  // The panel service prints and its connection drops before it answers.
  // The caller hears "unknown", never "not run"; its retry under the same
  // key must not print again.
  EmbeddedStack stack;
  REQUIRE(stack.Start(2));
  for (const auto& s : stack.embedded->services()) {
    s->SetFaults({.lose_answer_rate = 1.0});
  }
  QNetworkAccessManager network;
  for (int instance : {0, 1}) {
    const HttpResponse a = HttpCall(
        network, "POST", RunUrl(stack, instance, "nilelight", "print-notice"),
        Body("nile-hotels", "room 7", false),
        {{"Idempotency-Key", "notice-77"}});
    CHECK(Json(a).value("state").toString() == "unknown");
  }
  int64_t executed = 0;
  for (const auto& s : stack.embedded->services()) executed += s->executed();
  CHECK(executed == 1);
}

TEST_CASE("a stream that trickles on is answered at its deadline") {
  // A slow engine sends a token now and then. Qt's transfer timeout starts
  // anew with each, so the request outlived its deadline many times over.
  EmbeddedStack stack;
  REQUIRE(stack.Start(1));
  for (const auto& e : stack.embedded->engines()) {
    e->SetFaults({.slow_factor = 25});
  }
  QNetworkAccessManager network;
  QElapsedTimer timer;
  timer.start();
  const HttpResponse a =
      HttpCall(network, "POST", RunUrl(stack, 0, "nilelight", "generate"),
               R"({"organisation":"nile-hotels","input":"a b","max_tokens":60,)"
               R"("stream":true,"deadline_ms":300})");
  CHECK(a.body.contains(R"("code":3003)"));
  CHECK(timer.elapsed() < 1000);
}

TEST_CASE("two organisations may use the same idempotency key") {
  // Two franchisees both number their notices from 1. Before, the second
  // one's "notice-1" was answered with the first one's room, and not printed.
  EmbeddedStack stack;
  REQUIRE(stack.Start(1));
  QNetworkAccessManager network;
  for (const char* organisation : {"nile-hotels", "nile-clinics"}) {
    const HttpResponse a =
        HttpCall(network, "POST", RunUrl(stack, 0, "nilelight", "print-notice"),
                 Body(organisation, organisation, false),
                 {{"Idempotency-Key", "notice-1"}});
    CHECK(Json(a).value("state").toString() == "ran");
    CHECK(Json(a).value("organisation").toString() == organisation);
    CHECK(Json(a).value("output").toString().contains(organisation));
  }
}

TEST_CASE("a key used again for another body is refused, not replayed") {
  // A panel reuses key 7 for a new room. The old room's answer must not be
  // passed off as the new one's.
  EmbeddedStack stack;
  REQUIRE(stack.Start(1));
  QNetworkAccessManager network;
  auto run = [&](const char* input) {
    return HttpCall(
        network, "POST", RunUrl(stack, 0, "nilelight", "print-notice"),
        Body("nile-hotels", input, false), {{"Idempotency-Key", "7"}});
  };
  REQUIRE(Json(run("room one")).value("state").toString() == "ran");
  Wait(50);
  const HttpResponse other = run("room two");
  CHECK(Json(other).value("code").toInt() == 1006);
  CHECK(Json(other).value("state").toString() == "not_run");
  CHECK(Json(run("room one")).value("state").toString() == "ran");
}

TEST_CASE("a pipeline that prints cannot be run without a key") {
  // A caller leaves out "idempotent": false on a pipeline whose print stage
  // may not be repeated. Run without a claim, its retry printed again.
  EmbeddedStack stack;
  REQUIRE(stack.Start(1));
  QNetworkAccessManager network;
  const HttpResponse a =
      HttpCall(network, "POST", RunUrl(stack, 0, "nilelight", "print-notice"),
               Body("nile-hotels", "room 3"));
  CHECK(Json(a).value("code").toInt() == 1005);
  CHECK(Json(a).value("state").toString() == "not_run");
  int64_t executed = 0;
  for (const auto& s : stack.embedded->services()) executed += s->executed();
  CHECK(executed == 0);
}

TEST_CASE("a request marked non-idempotent runs once on repeatable stages") {
  // A franchisee marks a generation as not to be repeated. Its engine fails
  // after taking it. Retried or hedged inside, or released and run again for
  // a resend, it would have run twice.
  EmbeddedStack stack;
  REQUIRE(stack.Start(2));
  for (const auto& e : stack.embedded->engines()) {
    e->SetFaults({.fail_rate = 1.0});
  }
  QNetworkAccessManager network;
  for (int instance : {0, 1}) {
    const HttpResponse a = HttpCall(
        network, "POST", RunUrl(stack, instance, "nilelight", "generate"),
        Body("nile-hotels", "draft", false), {{"Idempotency-Key", "draft-1"}});
    CHECK(Json(a).value("state").toString() == "unknown");
  }
  int64_t received = 0;
  for (const auto& e : stack.embedded->engines()) received += e->received();
  CHECK(received == 1);
}

TEST_CASE("an attempt without the claim never says not run") {
  // A resend finds no generator and ends before its claim, while the first
  // attempt with its key may be under way elsewhere and print.
  EmbeddedStack stack;
  REQUIRE(stack.Start(1));
  for (const auto& e : stack.embedded->engines()) {
    e->SetFaults({.leaving = true});
  }
  QNetworkAccessManager network;
  const HttpResponse a = HttpCall(
      network, "POST", RunUrl(stack, 0, "nilelight", "print-notice"),
      Body("nile-hotels", "room 8", false), {{"Idempotency-Key", "notice-8"}});
  CHECK(Json(a).value("state").toString() == "unknown");
}

TEST_CASE("a request that lost its key to another is not told not run") {
  // Two panels use one key at the same time for different rooms. Both notices
  // are generated before one of them gets the key. The other was told that
  // nothing ran, although its notice had been generated.
  EmbeddedStack stack;
  REQUIRE(stack.Start(2));
  QNetworkAccessManager network;
  std::vector<QNetworkReply*> replies;
  for (int i : {0, 1}) {
    QNetworkRequest r{QUrl(RunUrl(stack, i, "nilelight", "print-notice"))};
    r.setHeader(QNetworkRequest::ContentTypeHeader, "application/json");
    r.setRawHeader("Idempotency-Key", "notice-3");
    replies.push_back(network.post(
        r, Body("nile-hotels", i == 0 ? "room 1" : "room 2", false)));
  }
  Wait(500);
  int lost = 0;
  for (QNetworkReply* r : replies) {
    REQUIRE(r->isFinished());
    const auto answer = QJsonDocument::fromJson(r->readAll()).object();
    if (answer.value("state").toString() == "ran") continue;
    ++lost;
    CHECK(answer.value("code").toInt() == 1006);
    CHECK(answer.value("state").toString() == "failed");
  }
  CHECK(lost == 1);
}
