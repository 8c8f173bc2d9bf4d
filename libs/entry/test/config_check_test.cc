#include "turmeric/entry/config_check.h"

#include <QCoreApplication>
#include <QEventLoop>
#include <catch2/catch.hpp>
#include <vector>

using namespace std::chrono_literals;  // NOLINT(google-build-using-namespace)
using turmeric::entry::ConfigCheck;

namespace {

void RunEventLoop(std::chrono::milliseconds time) {
  QEventLoop loop;
  QTimer::singleShot(time, &loop, &QEventLoop::quit);
  loop.exec();
}

constexpr auto kBound = 1500ms;

/**
 * A check, and the calls that it has made to a store that is simulated by the
 * test.
 */
struct Store {
  std::vector<ConfigCheck::Callback> calls;
  ConfigCheck::Clock::time_point current_at;  ///< As reported by relays.
  ConfigCheck check{
      kBound, [this] { return current_at; },
      [this](ConfigCheck::Callback callback) { calls.push_back(callback); }};
};

}  // namespace

// Guards against a call to the store for each refused caller.
TEST_CASE("simultaneous refusals are confirmed by one call") {
  Store store;
  int confirmed = 0;
  for (int i = 0; i < 100; ++i) {
    store.check.Confirm(
        [&](bool is_latest) { confirmed += is_latest ? 1 : 0; });
  }
  REQUIRE(store.calls.size() == 1);
  REQUIRE(confirmed == 0);
  store.calls[0](true);
  REQUIRE(confirmed == 100);
  store.check.Confirm([&](bool is_latest) { confirmed += is_latest ? 1 : 0; });
  REQUIRE(confirmed == 101);
  REQUIRE(store.calls.size() == 1);
}

// Guards against an old confirmation that is used for a configuration accepted
// after it.
TEST_CASE("an expired confirmation is renewed") {
  Store store;
  store.check.Confirm([](bool) {});
  store.calls[0](true);
  RunEventLoop(1100ms);
  store.check.Confirm([](bool) {});
  REQUIRE(store.calls.size() == 2);
}

// Guards against calls to the store for a configuration that relays have just
// confirmed.
TEST_CASE("a configuration known to be the latest needs no call") {
  Store store;
  int confirmed = 0;
  const auto confirm = [&] {
    store.check.Confirm(
        [&](bool is_latest) { confirmed += is_latest ? 1 : 0; });
  };
  store.current_at = ConfigCheck::Clock::now();
  confirm();
  REQUIRE(confirmed == 1);
  REQUIRE(store.calls.empty());
  store.current_at = ConfigCheck::Clock::now() - kBound;
  confirm();
  REQUIRE(store.calls.size() == 1);
}

// Guards against callers that wait for a store that does not answer.
TEST_CASE("a store that does not answer confirms nothing, within a bound") {
  Store store;
  int unconfirmed = 0;
  store.check.Confirm(
      [&](bool is_latest) { unconfirmed += is_latest ? 0 : 1; });
  RunEventLoop(400ms);
  REQUIRE(unconfirmed == 1);
  store.check.Confirm(
      [&](bool is_latest) { unconfirmed += is_latest ? 0 : 1; });
  RunEventLoop(400ms);
  REQUIRE(unconfirmed == 2);
  REQUIRE(store.calls.size() == 1);
}

// Guards against a call for each refusal while the store is unreachable.
TEST_CASE("after a failed call the store is not called for a while") {
  Store store;
  int unconfirmed = 0;
  const auto confirm = [&] {
    store.check.Confirm(
        [&](bool is_latest) { unconfirmed += is_latest ? 0 : 1; });
  };
  confirm();
  store.calls[0](false);
  for (int i = 0; i < 10; ++i) confirm();
  REQUIRE(unconfirmed == 11);
  REQUIRE(store.calls.size() == 1);
  RunEventLoop(1100ms);
  confirm();
  REQUIRE(store.calls.size() == 2);
}
