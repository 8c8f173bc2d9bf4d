// Failures of a caller's connection: it goes away, or it carries several
// requests at once.
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

/** @return one HTTP/1.1 run request as a caller's client writes it. */
QByteArray RawRun(const char* pipeline, const QByteArray& body) {
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

TEST_CASE("a caller that disconnects takes nobody else down") {
  // A wall panel loses power while its notice is generated. Before: Qt
  // deleted the connection, the late answer was written to it, the instance
  // crashed and every other caller's request was cut.
  EmbeddedStack stack;
  REQUIRE(stack.Start(1));
  for (const char* stream : {"false", "true"}) {
    QTcpSocket panel;
    Connect(panel, stack);
    panel.write(RawRun("generate",
                       QByteArray(R"({"organisation":"nile-hotels","input":)"
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

TEST_CASE("work for a caller that has gone is cancelled") {
  // Receptionists close the page before a long summary is ready. The summary
  // must not go on through rerank and generate at the business's cost.
  EmbeddedStack stack;
  REQUIRE(stack.Start(1));
  for (const auto& s : stack.embedded->services()) {
    s->SetFaults({.slow_factor = 30});
  }
  QTcpSocket page;
  Connect(page, stack);
  page.write(RawRun("translate-notice", Body("nile-hotels", "long summary")));
  Wait(20);
  page.abort();
  Wait(400);
  int64_t generated = 0;
  for (const auto& e : stack.embedded->engines()) generated += e->received();
  CHECK(generated == 0);
  CHECK(stack.gateways[0]->metrics().Render().find("caller_gone") !=
        std::string::npos);
}

TEST_CASE("answers on one connection leave in request order") {
  // A panel pipelines two requests on one connection: a slow summary, then a
  // quick notice. The notice is ready first; sent first, the panel would show
  // it as the answer to the summary.
  EmbeddedStack stack;
  REQUIRE(stack.Start(1));
  QTcpSocket panel;
  Connect(panel, stack);
  panel.write(RawRun("generate", Body("nile-hotels", "SLOW", true, 40)) +
              RawRun("generate", Body("nile-hotels", "FAST", true, 1)));
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
