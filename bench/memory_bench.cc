#include <benchmark/benchmark.h>

#include <chrono>
#include <deque>
#include <vector>

#include "turmeric/memory/charge.h"
#include "turmeric/memory/memory_account.h"
#include "turmeric/memory/pressure.h"
#include "turmeric/memory/reception.h"

namespace {

using turmeric::memory::BufferKind;
using turmeric::memory::Charge;
using turmeric::memory::MemoryAccount;
using turmeric::memory::PartialRequest;
using turmeric::memory::Reception;

constexpr size_t kReadBytes = 32 * 1024;

/** One read of an answer and the decision after it, by number of answers that
 * are held. */
void BM_ChargeRead(benchmark::State& state) {
  MemoryAccount account(size_t{1} << 40);
  std::deque<Charge> answers;
  const auto count = static_cast<size_t>(state.range(0));
  for (size_t i = 0; i < count; ++i) {
    answers.emplace_back(account, BufferKind::kUpstreamAnswer, i + 1);
  }
  size_t next = 0;
  for (auto _ : state) {
    Charge& answer = answers[next++ % count];
    answer.Set(answer.bytes() + kReadBytes);
    benchmark::DoNotOptimize(PressureOf(account));
    benchmark::DoNotOptimize(account.Mean(BufferKind::kUpstreamAnswer));
    benchmark::DoNotOptimize(
        account.holders(BufferKind::kUpstreamAnswer).rbegin()->second);
  }
}
BENCHMARK(BM_ChargeRead)->Arg(100)->Arg(10000);

/** The decision on a large request, by number of others that are received, all
 * too slow. */
void BM_DecideReception(benchmark::State& state) {
  const std::chrono::steady_clock::time_point now(std::chrono::hours(1));
  std::vector<Reception> others;
  for (uint64_t id = 1; id <= static_cast<uint64_t>(state.range(0)); ++id) {
    others.push_back({.id = id,
                      .expected = kReadBytes,
                      .received = id,
                      .began = now - std::chrono::minutes(1),
                      .last_byte = now});
  }
  const Reception request{.id = 0,
                          .expected = kReadBytes,
                          .received = 0,
                          .began = now,
                          .last_byte = now};
  for (auto _ : state) {
    benchmark::DoNotOptimize(
        DecideReception(request, others, 0, kReadBytes, now));
  }
}
BENCHMARK(BM_DecideReception)->Arg(10)->Arg(1750);

/** The decision on partial requests of which one has to be given up, by number
 * of them. */
void BM_DecidePartial(benchmark::State& state) {
  const std::chrono::steady_clock::time_point now(std::chrono::hours(1));
  std::vector<PartialRequest> requests;
  for (uint64_t id = 1; id <= static_cast<uint64_t>(state.range(0)); ++id) {
    requests.push_back({.id = id,
                        .held = kReadBytes,
                        .sent_ahead = id % 2 == 0,
                        .began = now - std::chrono::milliseconds(id)});
  }
  const size_t bound = kReadBytes * (requests.size() - 1);
  for (auto _ : state) {
    benchmark::DoNotOptimize(DecidePartial(requests, bound));
  }
}
BENCHMARK(BM_DecidePartial)->Arg(10)->Arg(1750);

}  // namespace

BENCHMARK_MAIN();
