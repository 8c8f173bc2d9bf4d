#include "turmeric/memory/memory_account.h"

#include <catch2/catch.hpp>
#include <optional>

#include "turmeric/memory/charge.h"
#include "turmeric/memory/pressure.h"

using turmeric::memory::BufferKind;
using turmeric::memory::Charge;
using turmeric::memory::MemoryAccount;
using turmeric::memory::Pressure;
using turmeric::memory::PressureOf;

// Guards against bytes that stay charged after their holder has ended: the
// instance would refuse all requests for ever.
TEST_CASE("a charge is removed with its holder") {
  MemoryAccount account(100);
  {
    Charge request(account, BufferKind::kCallerRequest, 30);
    Charge answer(account, BufferKind::kUpstreamAnswer);
    answer.Set(80);
    answer.Set(50);
    REQUIRE(account.total() == 80);
    REQUIRE(account.bytes(BufferKind::kUpstreamAnswer) == 50);
  }
  REQUIRE(account.total() == 0);
  REQUIRE(account.holders(BufferKind::kUpstreamAnswer).empty());
  REQUIRE(account.Mean(BufferKind::kUpstreamAnswer) == 0);
}

// Guards against an answer that is given up although a larger one is held.
TEST_CASE("the largest holder of a kind is found after changes") {
  MemoryAccount account(1000);
  Charge first(account, BufferKind::kUpstreamAnswer, 10);
  Charge request(account, BufferKind::kCallerRequest, 500);
  std::optional<Charge> second;
  second.emplace(account, BufferKind::kUpstreamAnswer, 20);
  const auto largest = [&account] {
    return account.holders(BufferKind::kUpstreamAnswer).rbegin()->second;
  };
  REQUIRE(largest() == &*second);
  first.Set(31);
  REQUIRE(largest() == &first);
  REQUIRE(account.Mean(BufferKind::kUpstreamAnswer) == 25);
  first.Set(0);
  REQUIRE(largest() == &*second);
  REQUIRE(account.Mean(BufferKind::kUpstreamAnswer) == 20);
}

// Guards against an instance without the setting that refuses requests.
TEST_CASE("pressure begins at three quarters of the bound") {
  MemoryAccount unbounded;
  const Charge any(unbounded, BufferKind::kPeerLink, size_t{1} << 40);
  REQUIRE(PressureOf(unbounded) == Pressure::kNone);
  MemoryAccount account(100);
  Charge charge(account, BufferKind::kCallerAnswer, 74);
  REQUIRE(PressureOf(account) == Pressure::kNone);
  charge.Set(75);
  REQUIRE(PressureOf(account) == Pressure::kHigh);
  charge.Set(100);
  REQUIRE(PressureOf(account) == Pressure::kFull);
  charge.Set(99);
  REQUIRE(PressureOf(account) == Pressure::kHigh);
}
