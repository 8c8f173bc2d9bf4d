// Tests the answers to requests that are in flight when a planned stop reaches
// its drain timeout.
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

/**
 * Shorter than the duration of any request below, longer than event-loop
 * delays.
 */
constexpr int kDrainTimeoutMs = 600;
/** Slows an engine to 2 s per token and a service to 3 s per answer. */
constexpr double kSlow = 1000;

/**
 * A store that blocks reads of claims named "held" until `unblock` is released.
 */
class BlockingStore : public store::MemoryStore {
 public:
  utils::Result<store::StoredObject> Get(std::string_view key) override {
    if (key.ends_with("/held")) unblock.acquire();
    return MemoryStore::Get(key);
  }
  QSemaphore unblock;
};

/** The embedded platform and one instance with a short drain timeout. */
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
  ~StoppingInstance() { store->unblock.release(); }

  /**
   * Stops like the daemon, then closes all connections as a process exit does.
   */
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
    Wait(50);  // data in transit reaches the callers
  }

  std::shared_ptr<BlockingStore> store = std::make_shared<BlockingStore>();
  EmbeddedStack stack;
  GatewayService* gateway = nullptr;
};

/** Connection of one caller and the bytes received on it. */
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
  /** @return the JSON body of the answer, empty if no answer was received. */
  QJsonObject Answer() const {
    return QJsonDocument::fromJson(
               received.mid(received.indexOf("\r\n\r\n") + 4))
        .object();
  }

  QTcpSocket socket;
  QTimer reader;  ///< Reads available data every millisecond.
  QByteArray received;
};

/**
 * A caller that sends its next request as soon as the last one is answered, and
 * reconnects whenever its connection is closed, until connections are refused.
 */
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
                         connection_refused = true;
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
  bool connection_refused = false;
};

}  // namespace

TEST_CASE("requests in flight at the end of a planned stop get an error code") {
  // Guards against requests without any answer at the end of a planned stop:
  // one request is in an idempotent stage, two have a non-idempotent call ahead
  // or in flight, and one waits for its claim lookup. None ends within the
  // drain timeout; all must receive an error answer before the process exits.
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
  // An attempt without the claim cannot state whether the request ran.
  CHECK(before_claim.Answer().value("code").toInt() == 2003);
  CHECK(before_claim.Answer().value("state").toString() == "unknown");
  CHECK(waiting.received.contains("Retry-After: 0\r\n"));
  CHECK(waiting.Answer().value("code").toInt() == 2003);
  CHECK(waiting.Answer().value("state").toString() == "unknown");
  // The non-idempotent call may have run: never "not run".
  CHECK(recording.received.startsWith("HTTP/1.1 502"));
  CHECK(recording.Answer().value("code").toInt() == 4002);
  CHECK(recording.Answer().value("state").toString() == "unknown");
}

TEST_CASE("a stream ended by a planned stop does not look complete") {
  // Guards against a cut stream that looks complete: a stream outlasts the
  // drain timeout. It must contain the error code, and must lack the
  // terminating chunk.
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

TEST_CASE("a planned stop ends only after all answers are sent") {
  // Guards against truncated answers: a caller reads a long answer slowly
  // during a planned stop. The request no longer counts as in flight, but part
  // of the answer is still buffered in the process, which must not exit before
  // the buffer is sent.
  StoppingInstance instance;
  REQUIRE(instance.store->Put(
      config::SettingsKey("pipeline", "nilelight", "copy"),
      "stages = encode\nstage.encode.pool = encoder\n", store::kAbsent));
  Wait(50);
  constexpr int kAnswerBytes = 16'000'000;     // exceeds socket buffers
  constexpr qint64 kReadBufferBytes = 65'536;  // per read
  const QByteArray input(kAnswerBytes, 'x');
  Caller caller(instance);
  caller.socket.setReadBufferSize(kReadBufferBytes);
  caller.reader.stop();
  caller.Send("nilelight/copy", Body("nile-hotels", input.constData()));
  for (int i = 0; i < 500 && caller.socket.bytesAvailable() == 0; ++i) Wait(10);
  REQUIRE(caller.socket.bytesAvailable() > 0);
  caller.reader.start(1);
  instance.StopAndExit();
  Wait(500);  // data buffered by the kernel
  CHECK(caller.received.size() > kAnswerBytes);
  CHECK(caller.Answer().value("state").toString() == "ran");
}

TEST_CASE("the last request on a busy connection is answered before exit") {
  // Guards against unanswered requests on kept connections: callers send one
  // request after the other during a planned stop. If their connections stayed
  // open until the exit, the last request on each would get neither an answer
  // nor a refusal.
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
    CHECK(panel->connection_refused);
  }
}

TEST_CASE("a planned stop does not outlive its instance") {
  // Guards against a use after free: an instance is destroyed before its
  // planned stop has ended, while other instances of the process continue. A
  // poll timer that outlived the instance would crash the process.
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
