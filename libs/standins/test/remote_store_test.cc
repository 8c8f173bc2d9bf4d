// Tests RemoteStore with the platform stand-in over loopback HTTP.
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

/** Runs the stand-in on a separate thread, because calls of RemoteStore block
 * the thread of the test. */
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

bool Eventually(const std::function<bool()>& condition, int timeout_ms = 4000) {
  for (int waited_ms = 0; waited_ms < timeout_ms && !condition();
       waited_ms += 10) {
    QThread::msleep(10);
  }
  return condition();
}

}  // namespace

TEST_CASE("RemoteStore gives the same results as the in-process store") {
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

TEST_CASE("a write whose answer is lost is not retried and reports the loss") {
  // Guards against a wrong result for a conditional create that is applied
  // before the connection drops. A retry by the network library would fail with
  // a conflict caused by the first attempt; the error "unavailable" would state
  // that the write was not applied.
  PlatformThread platform;
  RemoteStore store(platform.Options());
  PlatformFaults lossy_faults;
  lossy_faults.store.lose_answer_rate = 1.0;
  platform.SetFaults(lossy_faults);
  CHECK(store.Put("k", "v", kAbsent).error().code == Errc::kStoreAnswerLost);
  platform.SetFaults({});
  CHECK(Eventually([&] { return store.Get("k").has_value(); }));
  CHECK(platform.memory->Get("k").value().version == 1);
  CHECK(platform.memory->counts().writes == 1);
}

TEST_CASE("calls to a silent store fail at once after the first timeout") {
  // Guards against requests that queue behind blocked store threads: the
  // platform accepts connections without answering, and each call would block
  // until its timeout.
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

TEST_CASE("a re-armed watch matches the store after silence and a compaction") {
  // Guards against missed changes. While the connection of a watch is silent,
  // one object is changed, one deleted and one created, and the platform
  // compacts its history. After re-arming, the watcher must hold exactly the
  // stored keys, without the deleted one.
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
  CHECK(held.Snapshot().size() == 2);  // Arm has delivered the current state
  PlatformFaults silent;
  silent.silent = true;
  platform.SetFaults(silent);
  REQUIRE(platform.memory->Put("config/a", "2", 1));
  REQUIRE(platform.memory->Delete("config/b", 1));
  REQUIRE(platform.memory->Put("config/d", "1", kAbsent));
  platform.memory->Compact();
  CHECK(Eventually([&] { return !watch.armed(); }));  // the watch timed out
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
