#include "turmeric/entry/caller_buffers.h"

#include <fcntl.h>
#include <sys/socket.h>
#include <unistd.h>

#include <QCoreApplication>
#include <array>
#include <catch2/catch.hpp>
#include <string>

#include "turmeric/entry/entry_metrics.h"
#include "turmeric/entry/memory_guard.h"
#include "turmeric/http/server_connection.h"
#include "turmeric/memory/memory_account.h"

using namespace std::chrono_literals;  // NOLINT(google-build-using-namespace)
using turmeric::entry::CallerBuffers;
using turmeric::entry::EntryMetrics;
using turmeric::entry::MemoryGuard;
using turmeric::http::RequestMessage;
using turmeric::http::ServerConnection;
using turmeric::memory::BufferKind;
using turmeric::memory::MemoryAccount;

namespace {

/** An answer that a caller reads a byte a second, and its charge. */
struct SlowAnswer {
  explicit SlowAnswer(size_t bound) : account(bound) {
    REQUIRE(::socketpair(AF_UNIX, SOCK_STREAM | SOCK_NONBLOCK, 0,
                         sockets.data()) == 0);
    // Deletes itself when it is cut off.
    connection = new ServerConnection(
        sockets[0], [] { return turmeric::http::ServerLimits{}; },
        [this](ServerConnection& c, RequestMessage&&) {
          c.set_on_disconnected([this] { disconnected = true; });
          c.StartChunked(200, {});
          c.WriteChunk(std::string(4 * 1024 * 1024, 'x'));
        },
        nullptr);
    buffers.Add(*connection);
    const std::string request = "GET /x HTTP/1.1\r\nHost: h\r\n\r\n";
    REQUIRE(::send(sockets[1], request.data(), request.size(), 0) > 0);
    while (account.bytes(BufferKind::kCallerAnswer) == 0) {
      QCoreApplication::processEvents();
    }
  }
  ~SlowAnswer() {
    ::close(sockets[1]);
    if (!disconnected) delete connection;
  }

  /** Lets time pass. @param seconds how long. */
  void Wait(int seconds) {
    for (int i = 0; i < seconds; ++i) {
      char byte = 0;
      ::recv(sockets[1], &byte, 1, MSG_DONTWAIT);
      buffers.Check(now += 1s);
    }
  }

  std::array<int, 2> sockets{};
  MemoryAccount account;
  EntryMetrics metrics;
  MemoryGuard guard{account, metrics};
  CallerBuffers buffers{guard};
  ServerConnection* connection = nullptr;
  bool disconnected = false;
  std::chrono::steady_clock::time_point now;
};

}  // namespace

// Guards against slow callers that fill the memory of an instance until their
// deadlines.
TEST_CASE("a slow caller is cut off under pressure after ten seconds") {
  SlowAnswer answer(5 * 1024 * 1024);
  REQUIRE(answer.account.total() > 3 * 1024 * 1024);
  answer.Wait(10);
  REQUIRE_FALSE(answer.disconnected);
  answer.Wait(1);
  REQUIRE(answer.disconnected);
  REQUIRE(answer.account.total() == 0);
}

// Guards against slow callers that are cut off although there is memory.
TEST_CASE("a slow caller is served without pressure") {
  SlowAnswer answer(50 * 1024 * 1024);
  answer.Wait(30);
  REQUIRE_FALSE(answer.disconnected);
}
