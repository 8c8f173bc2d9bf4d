#include "turmeric/entry/config_check.h"

#include <QCoreApplication>
#include <QEventLoop>
#include <catch2/catch.hpp>
#include <vector>

using namespace std::chrono_literals;  // NOLINT(google-build-using-namespace)
using turmeric::entry::ConfigCheck;

namespace {

void Run(std::chrono::milliseconds time) {
  QEventLoop loop;
  QTimer::singleShot(time, &loop, &QEventLoop::quit);
  loop.exec();
}

constexpr auto kBound = 1500ms;

/** A check, and the calls that it has made to a store that the test plays. */
struct Store {
  std::vector<ConfigCheck::Answer> calls;
  ConfigCheck::Clock::time_point known_to;  ///< By relays.
  ConfigCheck check{
      kBound, [this] { return known_to; },
      [this](ConfigCheck::Answer answer) { calls.push_back(answer); }};
};

}  // namespace

// Guards against a call to the store for each caller that is refused.
TEST_CASE("refusals of one moment are confirmed by one call") {
  Store store;
  int confirmed = 0;
  for (int i = 0; i < 100; ++i) {
    store.check.Ask([&](bool is_latest) { confirmed += is_latest ? 1 : 0; });
  }
  REQUIRE(store.calls.size() == 1);
  REQUIRE(confirmed == 0);
  store.calls[0](true);
  REQUIRE(confirmed == 100);
  store.check.Ask([&](bool is_latest) { confirmed += is_latest ? 1 : 0; });
  REQUIRE(confirmed == 101);
  REQUIRE(store.calls.size() == 1);
}

// Guards against an old confirmation that stands for a configuration that was
// accepted since.
TEST_CASE("a confirmation is asked for again") {
  Store store;
  store.check.Ask([](bool) {});
  store.calls[0](true);
  Run(1100ms);
  store.check.Ask([](bool) {});
  REQUIRE(store.calls.size() == 2);
}

// Guards against calls to the store for what relays have told a moment ago.
TEST_CASE("what is known to be the latest is not asked for") {
  Store store;
  int confirmed = 0;
  const auto ask = [&] {
    store.check.Ask([&](bool is_latest) { confirmed += is_latest ? 1 : 0; });
  };
  store.known_to = ConfigCheck::Clock::now();
  ask();
  REQUIRE(confirmed == 1);
  REQUIRE(store.calls.empty());
  store.known_to = ConfigCheck::Clock::now() - kBound;
  ask();
  REQUIRE(store.calls.size() == 1);
}

// Guards against callers that wait for a silent store.
TEST_CASE("a store that says nothing confirms nothing, soon") {
  Store store;
  int unconfirmed = 0;
  store.check.Ask([&](bool is_latest) { unconfirmed += is_latest ? 0 : 1; });
  Run(400ms);
  REQUIRE(unconfirmed == 1);
  store.check.Ask([&](bool is_latest) { unconfirmed += is_latest ? 0 : 1; });
  Run(400ms);
  REQUIRE(unconfirmed == 2);
  REQUIRE(store.calls.size() == 1);
}

// Guards against a store that is away and is called for each refusal.
TEST_CASE("a store that fails is left alone for a while") {
  Store store;
  int unconfirmed = 0;
  const auto ask = [&] {
    store.check.Ask([&](bool is_latest) { unconfirmed += is_latest ? 0 : 1; });
  };
  ask();
  store.calls[0](false);
  for (int i = 0; i < 10; ++i) ask();
  REQUIRE(unconfirmed == 11);
  REQUIRE(store.calls.size() == 1);
  Run(1100ms);
  ask();
  REQUIRE(store.calls.size() == 2);
}
