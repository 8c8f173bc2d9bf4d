#include "turmeric/http/router_server.h"

#include <QObject>
#include <catch2/catch.hpp>
#include <chrono>
#include <memory>
#include <optional>

#include "run_until.h"
#include "turmeric/http/http_request.h"
#include "turmeric/http/tcp_socket.h"

using namespace std::chrono_literals;  // NOLINT(google-build-using-namespace)
using namespace turmeric::http;        // NOLINT(google-build-using-namespace)
using turmeric::http::test::RunUntil;

// Guards against a response that uses its connection while that is destroyed.
TEST_CASE("a server is destroyed while a callback owns an open response") {
  auto server = std::make_unique<RouterServer>();
  std::weak_ptr<Responder> open;
  server->Route("GET", "/", [&](const HttpRequest&, Responder&& responder) {
    const auto shared = std::make_shared<Responder>(std::move(responder));
    shared->OnDisconnected([shared] {});
    open = shared;
  });
  const Endpoint address{"127.0.0.1", server->Listen({"127.0.0.1", 0})};
  QObject owner;
  std::optional<SocketEnd> end;
  auto* client = new TcpSocket(address, 500ms, &owner);
  client->set_events({.on_connected = {},
                      .on_bytes = {},
                      .on_end = [&](SocketEnd e) { end = e; },
                      .on_drained = {}});
  client->Write("GET / HTTP/1.1\r\nHost: a\r\n\r\n");
  REQUIRE(RunUntil([&] { return !open.expired(); }));
  server.reset();
  CHECK(open.expired());
  REQUIRE(RunUntil([&] { return end.has_value(); }));
  CHECK(*end == SocketEnd::kReset);
}
