// Connection failures of callers: disconnects, and several pipelined requests
// on one connection.
#include <QTcpSocket>
#include <catch2/catch.hpp>

#include "path_helpers.h"
#include "turmeric/gateway/gateway_service.h"
#include "turmeric/standins/engine_standin.h"

using turmeric::gateway::EmbeddedStack;
using turmeric::gateway::testing::Body;
using turmeric::gateway::testing::Json;
using turmeric::gateway::testing::RunUrl;
using turmeric::gateway::testing::Wait;

namespace {

/** @return one HTTP/1.1 run request as sent by a caller. */
QByteArray RunRequestText(const char* pipeline, const QByteArray& body) {
  return QByteArray("POST /v1/pipelines/nilelight/") + pipeline +
         ":run HTTP/1.1\r\nHost: gate\r\nContent-Type: application/json\r\n"
         "Content-Length: " +
         QByteArray::number(body.size()) + "\r\n\r\n" + body;
}

void Connect(QTcpSocket& socket, const EmbeddedStack& stack) {
  socket.connectToHost(QHostAddress::LocalHost, stack.gateways[0]->port());
  REQUIRE(socket.waitForConnected(1000));
}

}  // namespace

TEST_CASE("a caller's disconnect does not affect other callers") {
  // Guards against a crash after a caller's disconnect: Qt deletes the
  // connection, the late answer is written to it, the process crashes and the
  // requests of all other callers are cut off.
  EmbeddedStack stack;
  REQUIRE(stack.Start(1));
  for (const char* stream : {"false", "true"}) {
    QTcpSocket panel;
    Connect(panel, stack);
    panel.write(RunRequestText(
        "generate", QByteArray(R"({"organisation":"nile-hotels","input":)"
                               R"("room 4","max_tokens":30,"stream":)") +
                        stream + "}"));
    Wait(20);
    panel.abort();
    Wait(150);
  }
  QNetworkAccessManager network;
  const auto other = turmeric::http::HttpCall(
      network, "POST", RunUrl(stack, 0, "nilelight", "generate"),
      Body("nile-hotels", "room 5"));
  CHECK(Json(other).value("state").toString() == "ran");
}

TEST_CASE("the run of a disconnected caller is cancelled") {
  // Guards against wasted upstream work: after the caller disconnects, the
  // remaining stages (rerank, generate) must not run at the business's cost.
  EmbeddedStack stack;
  REQUIRE(stack.Start(1));
  for (const auto& s : stack.embedded->services()) {
    s->SetFaults({.slow_factor = 30});
  }
  QTcpSocket page;
  Connect(page, stack);
  page.write(
      RunRequestText("translate-notice", Body("nile-hotels", "long summary")));
  Wait(20);
  page.abort();
  Wait(400);
  int64_t generated = 0;
  for (const auto& e : stack.embedded->engines()) generated += e->received();
  CHECK(generated == 0);
  CHECK(stack.gateways[0]->metrics().Render().find("caller_gone") !=
        std::string::npos);
}

TEST_CASE("answers on one connection are sent in request order") {
  // Guards against answers in completion order. The caller pipelines a slow and
  // a fast request; if the fast answer were sent first, the caller would treat
  // it as the answer to the slow request.
  EmbeddedStack stack;
  REQUIRE(stack.Start(1));
  QTcpSocket panel;
  Connect(panel, stack);
  panel.write(
      RunRequestText("generate", Body("nile-hotels", "SLOW", true, 40)) +
      RunRequestText("generate", Body("nile-hotels", "FAST", true, 1)));
  QByteArray received;
  for (int i = 0; i < 50 && received.count("HTTP/1.1 ") < 2; ++i) {
    Wait(20);
    received += panel.readAll();
  }
  CHECK(received.count("HTTP/1.1 200") == 2);
  const auto slow = received.indexOf("\"output\":\"SLOW");
  const auto fast = received.indexOf("\"output\":\"FAST");
  REQUIRE(slow > 0);
  REQUIRE(fast > 0);
  CHECK(slow < fast);
}
