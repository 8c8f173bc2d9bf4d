// RemoteStore against the platform stand-in over loopback HTTP.
#include "turmeric/store/remote_store.h"

#include <QCoreApplication>
#include <QThread>
#include <atomic>
#include <catch2/catch.hpp>
#include <functional>
#include <set>

#include "turmeric/standins/platform_standin.h"
#include "turmeric/store/known_revisions.h"
#include "turmeric/store/resumable_watch.h"

namespace turmeric::store {
using turmeric::standins::PlatformFaults;
using turmeric::standins::PlatformStandin;
using turmeric::utils::Errc;

namespace {

/** The stand-in on a thread of its own, as if a process of its own. */
class PlatformThread {
 public:
  PlatformThread() : memory(std::make_shared<MemoryStore>()) {
    thread_.start();
    context_.moveToThread(&thread_);
    OnThread([this] {
      standin_ = std::make_unique<PlatformStandin>(memory);
      port_ = standin_->Listen(0);
    });
  }
  ~PlatformThread() {
    OnThread([this] { standin_.reset(); });
    thread_.quit();
    thread_.wait();
  }
  void SetFaults(const PlatformFaults& faults) {
    OnThread([&] { standin_->SetFaults(faults); });
  }
  RemoteStoreOptions Options() const {
    RemoteStoreOptions options;
    options.address = "127.0.0.1:" + std::to_string(port_);
    options.call_timeout = std::chrono::milliseconds(200);
    options.watch_idle_timeout = std::chrono::milliseconds(1500);
    options.breaker_pause = std::chrono::milliseconds(50);
    return options;
  }
  std::shared_ptr<MemoryStore> memory;

 private:
  void OnThread(const std::function<void()>& work) {
    QMetaObject::invokeMethod(&context_, work, Qt::BlockingQueuedConnection);
  }
  QThread thread_;
  QObject context_;
  std::unique_ptr<PlatformStandin> standin_;
  uint16_t port_ = 0;
};

bool Eventually(const std::function<bool()>& holds, int ms = 4000) {
  for (int waited = 0; waited < ms && !holds(); waited += 10) {
    QThread::msleep(10);
  }
  return holds();
}

}  // namespace

TEST_CASE("the object API behaves over the network as in process") {
  PlatformThread platform;
  RemoteStore store(platform.Options());
  CHECK(store.Get("a/1").error().code == Errc::kStoreNotFound);
  auto put = store.Put("a/1", "x = 1\n%/ &", kAbsent);
  REQUIRE(put);
  CHECK(put.value().version == 1);
  CHECK(store.Get("a/1").value().value == "x = 1\n%/ &");
  CHECK(store.Put("a/1", "y", kAbsent).error().code == Errc::kStoreConflict);
  CHECK(store.Put("a/1", "y", 1).value().version == 2);
  CHECK(store.List("a/").value().objects.size() == 1);
  CHECK(store.Delete("a/1", 1).error().code == Errc::kStoreConflict);
  CHECK(store.Delete("a/1", 2));
  CHECK(store.List("a/").value().objects.empty());
}

TEST_CASE("a write whose answer is lost is not sent again, and says so") {
  // The platform applies a conditional create and the connection drops. Sent
  // again by the network library, it would come back as a conflict with
  // ourselves; reported as "unavailable", as if it had not happened.
  PlatformThread platform;
  RemoteStore store(platform.Options());
  PlatformFaults lossy;
  lossy.store.lose_answer_rate = 1.0;
  platform.SetFaults(lossy);
  CHECK(store.Put("k", "v", kAbsent).error().code == Errc::kStoreAnswerLost);
  platform.SetFaults({});
  CHECK(Eventually([&] { return store.Get("k").has_value(); }));
  CHECK(platform.memory->Get("k").value().version == 1);
  CHECK(platform.memory->counts().writes == 1);
}

TEST_CASE("a silent store fails calls fast instead of queueing them") {
  // The platform takes connections and answers nothing. Every call waiting
  // for its timeout would queue requests behind the store threads.
  PlatformThread platform;
  RemoteStore store(platform.Options());
  PlatformFaults silent;
  silent.silent = true;
  platform.SetFaults(silent);
  CHECK(store.Get("k").error().code == Errc::kStoreUnavailable);
  const auto start = std::chrono::steady_clock::now();
  CHECK(store.Get("k").error().code == Errc::kStoreUnavailable);
  CHECK(std::chrono::steady_clock::now() - start <
        std::chrono::milliseconds(50));
  platform.SetFaults({});
  CHECK(
      Eventually([&] { return store.Put("k", "v", kAnyVersion).has_value(); }));
}

TEST_CASE("a watch sees every change through silence and lost history") {
  // The connection of an instance's settings watch goes silent; meanwhile
  // one organisation is changed, one removed, and the platform forgets its
  // history. After re-arming the instance must hold exactly what is stored,
  // without the removed organisation.
  PlatformThread platform;
  RemoteStore store(platform.Options());
  KnownRevisions held;
  ResumableWatch watch(
      store, "config/", [&](const StoredObject& o) { held.Apply(o); },
      [&] { return held.Snapshot(); });
  for (const char* key : {"config/a", "config/b", "other/c"}) {
    REQUIRE(platform.memory->Put(key, "1", kAbsent));
  }
  REQUIRE(watch.Arm());
  CHECK(held.Snapshot().size() == 2);  // the state so far, before Arm returns
  PlatformFaults silent;
  silent.silent = true;
  platform.SetFaults(silent);
  REQUIRE(platform.memory->Put("config/a", "2", 1));
  REQUIRE(platform.memory->Delete("config/b", 1));
  REQUIRE(platform.memory->Put("config/d", "1", kAbsent));
  platform.memory->Compact();
  CHECK(Eventually([&] { return !watch.armed(); }));  // silence is noticed
  CHECK_FALSE(watch.Arm());
  platform.SetFaults({});
  CHECK(Eventually([&] { return watch.Arm().has_value(); }));
  std::set<std::string> keys;
  for (const auto& [key, revision] : held.Snapshot()) keys.insert(key);
  CHECK(keys == std::set<std::string>{"config/a", "config/d"});
  REQUIRE(platform.memory->Put("config/e", "1", kAbsent));
  CHECK(Eventually([&] { return held.Snapshot().size() == 3; }));
}

}  // namespace turmeric::store
