// What callers get when a planned stop reaches its end with requests open.
#include <QSemaphore>
#include <QTcpSocket>
#include <catch2/catch.hpp>

#include "path_helpers.h"
#include "turmeric/config/settings_tree.h"
#include "turmeric/gateway/gateway_service.h"
#include "turmeric/gateway/settings_service.h"
#include "turmeric/gateway/store_service.h"
#include "turmeric/standins/engine_standin.h"
#include "turmeric/store/memory_store.h"

namespace turmeric::gateway {
using testing::Body;
using testing::Wait;

namespace {

/** Shorter than any request below takes; longer than a loop's hiccups. */
constexpr int kDrainTimeoutMs = 600;
/** Makes an engine's token take 2 s and a service's answer 3 s. */
constexpr double kSlow = 1000;

/** A store whose reads of claims named "held" answer only when let go. */
class HeldStore : public store::MemoryStore {
 public:
  utils::Result<store::StoredObject> Get(std::string_view key) override {
    if (key.ends_with("/held")) let_go.acquire();
    return MemoryStore::Get(key);
  }
  QSemaphore let_go;
};

/** The embedded platform and one instance that stops quickly. */
struct StoppingInstance {
  StoppingInstance() {
    stack.store = store;
    REQUIRE(stack.Start(0));
    config::InstanceSettings s;
    s.listen_port = 0;
    s.drain_grace_ms = 0;
    s.drain_timeout_ms = kDrainTimeoutMs;
    auto k = std::make_unique<kernel::Kernel>();
    k->Register(std::make_unique<StoreService>(store));
    k->Register(std::make_unique<SettingsService>());
    gateway = static_cast<GatewayService*>(
        k->Register(std::make_unique<GatewayService>(s)));
    stack.gateways.push_back(gateway);
    REQUIRE(k->StartAll());
    stack.kernels.push_back(std::move(k));
  }
  ~StoppingInstance() { store->let_go.release(); }

  /** Stops as the daemon does; at the end the process is gone at once. */
  void StopAndExit() {
    bool exited = false;
    gateway->Drain([&] {
      gateway->Close([&] {
        gateway->Kill();
        exited = true;
      });
    });
    for (int i = 0; i < 500 && !exited; ++i) Wait(10);
    REQUIRE(exited);
    Wait(50);  // what is on the way reaches the callers
  }

  std::shared_ptr<HeldStore> store = std::make_shared<HeldStore>();
  EmbeddedStack stack;
  GatewayService* gateway = nullptr;
};

/** One caller's connection and what came back on it. */
struct Caller {
  explicit Caller(const StoppingInstance& instance) {
    QObject::connect(&reader, &QTimer::timeout,
                     [this] { received += socket.readAll(); });
    reader.start(1);
    socket.connectToHost(QHostAddress::LocalHost, instance.gateway->port());
    REQUIRE(socket.waitForConnected(1000));
  }
  void Send(const char* pipeline, const QByteArray& body,
            const QByteArray& key = {}) {
    socket.write(QByteArray("POST /v1/pipelines/") + pipeline +
                 ":run HTTP/1.1\r\nHost: gate\r\n" +
                 (key.isEmpty() ? "" : "Idempotency-Key: " + key + "\r\n") +
                 "Content-Type: application/json\r\nContent-Length: " +
                 QByteArray::number(body.size()) + "\r\n\r\n" + body);
  }
  /** @return the JSON body of the whole answer, if one came. */
  QJsonObject Answer() const {
    return QJsonDocument::fromJson(
               received.mid(received.indexOf("\r\n\r\n") + 4))
        .object();
  }

  QTcpSocket socket;
  QTimer reader;  ///< Reads what is there every millisecond.
  QByteArray received;
};

/** Sends its next request as soon as the last is answered, and connects anew
 * whenever its connection is closed, until nobody listens any more. */
struct BusyCaller {
  explicit BusyCaller(const StoppingInstance& instance)
      : port(instance.gateway->port()) {
    QObject::connect(&socket, &QTcpSocket::connected, [this] { Send(); });
    QObject::connect(&socket, &QTcpSocket::readyRead, [this] { Read(); });
    QObject::connect(
        &socket, &QTcpSocket::disconnected, &socket, [this] { OnClosed(); },
        Qt::QueuedConnection);
    QObject::connect(&socket, &QTcpSocket::errorOccurred,
                     [this](QAbstractSocket::SocketError error) {
                       if (error == QAbstractSocket::ConnectionRefusedError) {
                         nobody_listens = true;
                       }
                     });
    Connect();
  }
  ~BusyCaller() { socket.disconnect(); }
  void Connect() { socket.connectToHost(QHostAddress::LocalHost, port); }
  void Send() {
    const QByteArray body = Body("nile-hotels", "room 7");
    socket.write(
        "POST /v1/pipelines/nilelight/generate:run HTTP/1.1\r\nHost: gate\r\n"
        "Content-Type: application/json\r\nContent-Length: " +
        QByteArray::number(body.size()) + "\r\n\r\n" + body);
    open = true;
  }
  void Read() {
    received += socket.readAll();
    if (!received.endsWith('}')) return;
    ++answered;
    open = false;
    const bool closes = received.contains("Connection: close\r\n");
    received.clear();
    if (!closes) Send();
  }
  void OnClosed() {
    if (open) ++unanswered;
    open = false;
    Connect();
  }

  uint16_t port;
  QTcpSocket socket;
  QByteArray received;
  bool open = false;
  int answered = 0;
  int unanswered = 0;
  bool nobody_listens = false;
};

}  // namespace

TEST_CASE("requests open at the end of a planned stop get a numbered answer") {
  // An instance is stopped while a notice is being generated, a felling
  // recommendation is being recorded, and a keyed request still waits for its
  // claim to be read. None ends within the drain timeout. The process exited
  // by the clock, and each of them saw its connection closed: neither an
  // answer nor a refusal.
  StoppingInstance instance;
  const auto& engines = instance.stack.embedded->engines();
  for (size_t i = 0; i < 3; ++i) engines[i]->SetFaults({.slow_factor = kSlow});
  for (const auto& s : instance.stack.embedded->services()) {
    s->SetFaults({.slow_factor = kSlow});
  }
  Caller generating(instance);
  generating.Send("nilelight/generate", Body("nile-hotels", "room 4"));
  Caller before_claim(instance);
  before_claim.Send("nilelight/print-notice",
                    Body("nile-hotels", "room 5", false), "notice-5");
  Caller recording(instance);
  recording.Send("arvoredo/felling-recommendation",
                 Body("parish-bonfim", "lime 9", false), "tree-9");
  Caller waiting(instance);
  waiting.Send("nilelight/print-notice", Body("nile-hotels", "room 6", false),
               "held");
  Wait(150);
  instance.StopAndExit();

  CHECK(generating.received.startsWith("HTTP/1.1 503"));
  CHECK(generating.received.contains("Retry-After: 0\r\n"));
  CHECK(generating.Answer().value("code").toInt() == 2003);
  CHECK(generating.Answer().value("state").toString() == "failed");
  // Without the claim no attempt may speak for the request.
  CHECK(before_claim.Answer().value("code").toInt() == 2003);
  CHECK(before_claim.Answer().value("state").toString() == "unknown");
  CHECK(waiting.received.contains("Retry-After: 0\r\n"));
  CHECK(waiting.Answer().value("code").toInt() == 2003);
  CHECK(waiting.Answer().value("state").toString() == "unknown");
  // The record may have been made: never "not run".
  CHECK(recording.received.startsWith("HTTP/1.1 502"));
  CHECK(recording.Answer().value("code").toInt() == 4002);
  CHECK(recording.Answer().value("state").toString() == "unknown");
}

TEST_CASE("a stream midway at the end of a planned stop cannot look complete") {
  // A panel shows a text as it is generated when its instance is stopped. The
  // stream outlasts the drain timeout. The panel must hear by number why it
  // ends, and the stream must lack its end mark; it was cut without a word.
  StoppingInstance instance;
  for (const auto& e : instance.stack.embedded->engines()) {
    e->SetFaults({.slow_factor = 25});
  }
  Caller panel(instance);
  panel.Send("nilelight/generate",
             R"({"organisation":"nile-hotels","input":"a b c",)"
             R"("max_tokens":200,"stream":true})");
  Wait(300);
  REQUIRE(panel.received.contains("\"token\""));
  instance.StopAndExit();
  CHECK(panel.received.contains("\"code\":2003"));
  CHECK(panel.received.contains("\"state\":\"failed\""));
  CHECK_FALSE(panel.received.contains("\"state\":\"ran\""));
  CHECK_FALSE(panel.received.contains("\r\n0\r\n\r\n"));
  CHECK(panel.socket.state() == QAbstractSocket::UnconnectedState);
}

TEST_CASE("a planned stop ends only when its answers have left the process") {
  // A caller on a thin line reads a long answer slowly while the instance is
  // stopped. The answer is complete and counts as no longer in flight, but
  // part of it still lies in the process. The process exited at once, and the
  // caller was left with the first part of its answer.
  StoppingInstance instance;
  REQUIRE(instance.store->Put(
      config::SettingsKey("pipeline", "nilelight", "copy"),
      "stages = encode\nstage.encode.pool = encoder\n", store::kAbsent));
  Wait(50);
  constexpr int kLong = 16'000'000;      // more than the kernel's buffers take
  constexpr qint64 kThinBytes = 65'536;  // read at a time
  const QByteArray input(kLong, 'x');
  Caller caller(instance);
  caller.socket.setReadBufferSize(kThinBytes);
  caller.reader.stop();
  caller.Send("nilelight/copy", Body("nile-hotels", input.constData()));
  for (int i = 0; i < 500 && caller.socket.bytesAvailable() == 0; ++i) Wait(10);
  REQUIRE(caller.socket.bytesAvailable() > 0);
  caller.reader.start(1);
  instance.StopAndExit();
  Wait(500);  // what the kernel still holds
  CHECK(caller.received.size() > kLong);
  CHECK(caller.Answer().value("state").toString() == "ran");
}

TEST_CASE("a busy connection gets an answer to its last request before exit") {
  // Panels send one request after the other, each on its kept connection, all
  // through a planned stop. They are refused until the process exits; the last
  // request of each, sent whole, got neither an answer nor a refusal, since
  // nothing had made them let go of their connections.
  StoppingInstance instance;
  std::vector<std::unique_ptr<BusyCaller>> panels;
  for (int i = 0; i < 4; ++i) {
    panels.push_back(std::make_unique<BusyCaller>(instance));
  }
  Wait(100);
  instance.StopAndExit();
  Wait(100);
  for (const auto& panel : panels) {
    CHECK(panel->answered > 0);
    CHECK(panel->unanswered == 0);
    CHECK(panel->nobody_listens);
  }
}

TEST_CASE("a planned stop under way does not outlive its instance") {
  // A load test stops one of its instances and takes it down before the stop
  // has ended; other instances of the process go on. The stop's timer lived
  // on without its instance and the next tick brought the whole process down.
  EmbeddedStack stack;
  REQUIRE(stack.Start(1));
  bool ended = false;
  stack.gateways[0]->Drain([&] { ended = true; });
  stack.kernels.clear();
  stack.gateways.clear();
  Wait(100);
  CHECK_FALSE(ended);
}

}  // namespace turmeric::gateway
