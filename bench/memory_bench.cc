#include <benchmark/benchmark.h>

#include <deque>

#include "turmeric/memory/charge.h"
#include "turmeric/memory/memory_account.h"
#include "turmeric/memory/pressure.h"

namespace {

using turmeric::memory::BufferKind;
using turmeric::memory::Charge;
using turmeric::memory::MemoryAccount;

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

}  // namespace

BENCHMARK_MAIN();
