#include "turmeric/peer/peer_link.h"

#include <QEventLoop>
#include <QTimer>
#include <catch2/catch.hpp>
#include <memory>
#include <string>

#include "turmeric/http/listener.h"
#include "turmeric/http/tcp_socket.h"

using namespace std::chrono_literals;  // NOLINT(google-build-using-namespace)
using turmeric::http::Listener;
using turmeric::http::TcpSocket;
using turmeric::peer::Encode;
using turmeric::peer::Frame;
using turmeric::peer::PeerLink;

namespace {

/** @return a frame with its length prefix in little-endian byte order. */
std::string FrameBytes() {
  Frame frame;
  frame.sender = "entry-1";
  const auto body = Encode(frame, std::chrono::steady_clock::now());
  std::string bytes;
  for (const int shift : {0, 8, 16, 24}) {
    bytes.push_back(static_cast<char>(body.size() >> shift));
  }
  return bytes.append(body.begin(), body.end());
}

/** Accepts one link, and counts its frames. */
struct Receiver {
  QObject owner;
  int frames = 0;
  int ends = 0;
  Listener listener{[this](int fd) {
    new PeerLink(fd,
                 {.on_frame = [this](Frame&&) { ++frames; },
                  .on_flush = {},
                  .on_end = [this](std::string_view) { ++ends; }},
                 &owner);
  }};
};

void RunLoop(std::chrono::milliseconds duration) {
  QEventLoop loop;
  QTimer::singleShot(duration, &loop, &QEventLoop::quit);
  loop.exec();
}

/** Sends the first bytes of a frame and closes. */
void SendPart(Receiver& receiver, size_t size) {
  auto* socket = new TcpSocket({"127.0.0.1", receiver.listener.port()}, 500ms,
                               &receiver.owner);
  socket->set_events({.on_connected =
                          [socket, part = FrameBytes().substr(0, size)] {
                            socket->Write(part);
                            socket->CloseAfterFlush();
                          },
                      .on_bytes = {},
                      .on_end = {},
                      .on_drained = {}});
  RunLoop(30ms);
}

}  // namespace

// Guards against the part of a frame before the end of its connection being
// taken for a whole frame.
TEST_CASE("a frame that is cut is not delivered") {
  Receiver receiver;
  REQUIRE(receiver.listener.Listen({"127.0.0.1", 0}));
  const size_t whole = FrameBytes().size();
  int parts = 0;
  for (const size_t size : {size_t{1}, size_t{4}, size_t{5}, whole - 1}) {
    SendPart(receiver, size);
    CHECK(receiver.ends == ++parts);
  }
  CHECK(receiver.frames == 0);
  SendPart(receiver, whole);
  CHECK(receiver.frames == 1);
}
