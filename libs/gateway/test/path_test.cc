// End-to-end tests: embedded platform and entry instances in one process, HTTP
// on loopback, faults injected at the stand-ins.
#include <QElapsedTimer>
#include <QEventLoop>
#include <QJsonDocument>
#include <QJsonObject>
#include <QNetworkAccessManager>
#include <QNetworkReply>
#include <QTimer>
#include <algorithm>
#include <catch2/catch.hpp>
#include <cstdint>
#include <numeric>

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

TEST_CASE("a planned stop completes the requests in flight") {
  // Guards against requests lost in a planned stop: each request admitted
  // before the stop must receive its complete answer; later requests are
  // refused as not run.
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
  const auto received = [&stack] {
    const auto& engines = stack.embedded->engines();
    return std::accumulate(
        engines.begin(), engines.end(), int64_t{0},
        [](int64_t sum, const auto& e) { return sum + e->received(); });
  };
  const auto none_finished = [&replies] {
    return std::ranges::none_of(replies, &QNetworkReply::isFinished);
  };
  for (int i = 0; i < 2000 && received() < 5; ++i) Wait(1);
  REQUIRE(received() == 5);
  REQUIRE(none_finished());
  bool drained = false;
  stack.gateways[0]->Drain([&] { drained = true; });
  const HttpResponse late =
      HttpCall(network, "POST", RunUrl(stack, 0, "nilelight", "generate"),
               Body("nile-hotels", "too late"));
  CHECK(late.status == 503);
  CHECK(Json(late).value("code").toInt() == 2003);
  CHECK(Json(late).value("state").toString() == "not_run");
  for (int i = 0; i < 200 && !drained; ++i) Wait(10);
  REQUIRE(drained);
  // As the program does before it exits.
  bool closed = false;
  stack.gateways[0]->Close([&] { closed = true; });
  for (int i = 0; i < 200 && !closed; ++i) Wait(10);
  CHECK(closed);
  for (QNetworkReply* r : replies) {
    for (int i = 0; i < 200 && !r->isFinished(); ++i) Wait(10);
    REQUIRE(r->isFinished());
    CHECK(QJsonDocument::fromJson(r->readAll())
              .object()
              .value("state")
              .toString() == "ran");
  }
}

TEST_CASE("an upstream gets no new calls after it refuses as leaving") {
  // Guards against calls to a leaving engine: after its first refusal it must
  // receive no more calls, and every request must still run.
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

TEST_CASE("an upstream listed as leaving gets no new calls") {
  // Guards against calls to an engine that the instance list marks as leaving
  // while it still answers: they would be cut off when it stops.
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
  // Guards against double execution: a caller times out and retries with the
  // same key through another instance. The operation must run once, and the
  // retry must receive the first answer.
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

TEST_CASE("a store outage refuses non-idempotent requests as unknown") {
  // Guards against a false "not run": during a store outage the instance cannot
  // read whether an earlier attempt with the key ran. Nothing runs, the caller
  // receives "unknown", and its retry after the outage runs exactly once.
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

TEST_CASE("a retry never gets not run after an earlier attempt ran") {
  // Guards against a false "not run": a request ran through one instance, but
  // the caller did not get the answer. Its retry reaches another instance
  // during a store outage or a drain and must not receive "not run".
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

TEST_CASE("bad input gets an error code and runs nothing") {
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

TEST_CASE("a cut stream resumes without duplicate tokens") {
  // Guards against duplicated tokens: an engine fails after three of eight
  // tokens. The stream must resume on another engine at the fourth token,
  // without the first three again.
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

TEST_CASE("a non-idempotent call whose answer is lost runs once") {
  // Guards against double execution: the service executes the call and its
  // connection drops before the answer. The caller receives "unknown", never
  // "not run", and its retry with the same key must not execute again.
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

TEST_CASE("a slow stream ends at its deadline") {
  // Guards against streams that outlive the deadline: Qt's transfer timeout
  // restarts with every token of a slow engine.
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
  // Guards against a shared claim: two organisations use the same idempotency
  // key. Each must have its own request run, and receive its own answer.
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

TEST_CASE("a key reused with another input is refused, not replayed") {
  // Guards against a wrong replay: a key is reused for another input. The
  // stored answer of the first input must not be returned for the second.
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

TEST_CASE("a pipeline with a non-idempotent stage requires a key") {
  // Guards against execution without a claim: a caller omits "idempotent":
  // false for a pipeline with a non-idempotent stage. Without a claim a retry
  // would execute that stage twice.
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

TEST_CASE("a request marked non-idempotent runs once on idempotent stages") {
  // Guards against double execution: a caller marks a request on idempotent
  // stages as non-idempotent, and the engine fails after receiving it. A retry,
  // a hedged call or a released claim would run it twice.
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

TEST_CASE("an attempt without the claim never answers not run") {
  // Guards against a false "not run": a retry finds no upstream and ends before
  // it acquires the claim, while the first attempt with its key may still run
  // elsewhere.
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

TEST_CASE("a request that loses its key to another is answered as failed") {
  // Guards against a false "not run": two callers use one key at the same time
  // for different inputs. Both run their idempotent stage before one of them
  // acquires the key; the other must receive "failed".
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
