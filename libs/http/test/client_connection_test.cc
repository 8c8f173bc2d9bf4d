#include "turmeric/http/client_connection.h"

#include <QObject>
#include <catch2/catch.hpp>
#include <chrono>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <thread>
#include <vector>

#include "run_until.h"
#include "turmeric/http/listener.h"
#include "turmeric/http/message.h"
#include "turmeric/http/tcp_socket.h"

using namespace std::chrono_literals;  // NOLINT(google-build-using-namespace)
using namespace turmeric::http;        // NOLINT(google-build-using-namespace)
using turmeric::http::test::RunUntil;

namespace {

std::string Response(std::string_view id, std::string_view body) {
  std::string response = "HTTP/1.1 200 OK\r\n";
  if (!id.empty()) AppendHeader(response, "Id", id);
  AppendHeader(response, "Content-Length", std::to_string(body.size()));
  return response.append("\r\n").append(body);
}

/** A server that sends what the test tells it to. */
class ScriptedServer {
 public:
  ScriptedServer() : listener_([this](int fd) { Accept(fd); }) {
    REQUIRE(listener_.Listen({"127.0.0.1", 0}));
  }
  Endpoint endpoint() const { return {"127.0.0.1", listener_.port()}; }
  int requests() const { return requests_; }
  void Send(std::string_view bytes) { socket_->Write(bytes); }

 private:
  void Accept(int fd) {
    socket_ = new TcpSocket(fd, &owner_);
    socket_->set_events({.on_connected = {},
                         .on_bytes = [this](std::string_view) { ++requests_; },
                         .on_end = {},
                         .on_drained = {}});
  }

  QObject owner_;
  TcpSocket* socket_ = nullptr;
  int requests_ = 0;
  Listener listener_;
};

/** A connection to a scripted server. */
struct Exchanges {
  Exchanges()
      : connection(std::make_unique<ClientConnection>(server.endpoint(), 500ms,
                                                      nullptr)) {}

  /** Sends a request and waits until the server has received it. */
  void Begin(const std::string& id, const std::string& method = "GET") {
    const int before = server.requests();
    body.clear();
    ended = false;
    failure.reset();
    connection->Send(
        method + " / HTTP/1.1\r\n\r\n",
        {.on_head = {},
         .on_body = [this](std::string_view bytes) { body.append(bytes); },
         .on_end = [this] { ended = true; },
         .on_failure = [this](ExchangeFailure f) { failure = f; }},
        {.id = id,
         .id_of =
             [](const ResponseHead& head) {
               return std::string(HeaderValue(head.headers, "Id"));
             },
         .on_foreign = [this](std::string_view,
                              const ResponseHead&) { ++foreign; }});
    REQUIRE(RunUntil([&] { return server.requests() > before; }));
  }

  bool AwaitEnd() {
    return RunUntil([this] { return ended || failure.has_value(); });
  }

  /** A first exchange whose response echoes its id. */
  void Complete(const std::string& id) {
    Begin(id);
    server.Send(Response(id, "first"));
    REQUIRE(AwaitEnd());
    REQUIRE(ended);
    REQUIRE(connection->reusable());
  }

  ScriptedServer server;
  std::unique_ptr<ClientConnection> connection;
  std::string body;
  bool ended = false;
  int foreign = 0;
  std::optional<ExchangeFailure> failure;
};

}  // namespace

TEST_CASE("a response that echoes its id keeps the connection") {
  Exchanges one;
  one.Complete("a");
  CHECK(one.connection->ConfirmIdle());
  CHECK(one.connection->HasCarried("a"));
  CHECK_FALSE(one.connection->HasCarried("b"));
  one.Complete("b");
}

// Guards against a second response that is read as that of the next request,
// because the event loop has not handled it before the request is sent.
TEST_CASE("unread bytes on an idle connection close it") {
  Exchanges one;
  one.Complete("a");
  one.server.Send(Response("a", "second"));
  std::this_thread::sleep_for(20ms);
  CHECK_FALSE(one.connection->ConfirmIdle());
  CHECK(one.connection->unrequested_bytes() > 0);
}

TEST_CASE("bytes that arrive on an idle connection close it") {
  Exchanges one;
  one.Complete("a");
  bool idle_ended = false;
  one.connection->set_on_idle_end([&] { idle_ended = true; });
  one.server.Send("x");
  REQUIRE(RunUntil([&] { return idle_ended; }));
  CHECK_FALSE(one.connection->reusable());
}

TEST_CASE("bytes in one read with the end of a response close the connection") {
  Exchanges one;
  one.Begin("a");
  one.server.Send(Response("a", "first") + Response("a", "second"));
  REQUIRE(one.AwaitEnd());
  CHECK(one.body == "first");
  CHECK_FALSE(one.connection->reusable());
}

TEST_CASE("a response with another id is skipped") {
  Exchanges one;
  one.Complete("a");
  one.Begin("b");
  one.server.Send(Response("a", "second") + Response("b", "own"));
  REQUIRE(one.AwaitEnd());
  CHECK(one.body == "own");
  CHECK(one.foreign == 1);
  CHECK_FALSE(one.connection->reusable());
}

// Guards against a second response without an id that is taken for the response
// to the next request.
TEST_CASE("a response without an id on a used connection fails the exchange") {
  Exchanges one;
  one.Complete("a");
  one.Begin("b");
  one.server.Send(Response("", "whose"));
  REQUIRE(one.AwaitEnd());
  CHECK(one.failure == ExchangeFailure::kUnattributed);
  CHECK(one.body.empty());
  CHECK_FALSE(one.connection->reusable());
}

TEST_CASE("a response without an id counts as the first of its connection") {
  Exchanges one;
  one.Begin("a");
  one.server.Send(Response("", "own"));
  REQUIRE(one.AwaitEnd());
  CHECK(one.ended);
  CHECK(one.body == "own");
  CHECK_FALSE(one.connection->reusable());
}

TEST_CASE("a response without an id after a foreign one fails the exchange") {
  Exchanges one;
  one.Begin("a");
  one.server.Send(Response("z", "foreign") + Response("", "whose"));
  REQUIRE(one.AwaitEnd());
  CHECK(one.failure == ExchangeFailure::kUnattributed);
}

TEST_CASE("a connection is not reused after HEAD") {
  Exchanges one;
  one.Begin("a", "HEAD");
  one.server.Send("HTTP/1.1 200 OK\r\nId: a\r\nContent-Length: 5\r\n\r\n");
  REQUIRE(one.AwaitEnd());
  CHECK(one.ended);
  CHECK_FALSE(one.connection->reusable());
}

TEST_CASE("informational heads are skipped up to their limit") {
  Exchanges one;
  one.Begin("a");
  const std::string interim = "HTTP/1.1 103 Early Hints\r\n\r\n";
  one.server.Send(interim + interim + Response("a", "own"));
  REQUIRE(one.AwaitEnd());
  CHECK(one.body == "own");
  one.Begin("b");
  std::string endless;
  for (int i = 0; i < 20; ++i) endless += interim;
  one.server.Send(endless + Response("b", "own"));
  REQUIRE(one.AwaitEnd());
  CHECK(one.failure == ExchangeFailure::kMalformed);
}
