// Benchmarks of the per-unit costs used in docs/CAPACITY.md: memory of the
// settings per organisation; CPU time per settings lookup, configuration
// change, upstream choice and claim; store calls per request and per
// configuration change; traffic, CPU time and memory of membership per node.
// Run: build/bench/capacity_bench
#include <benchmark/benchmark.h>
#include <easylogging++.h>
#include <malloc.h>

#include <memory>
#include <random>
#include <vector>

#include "fake_network.h"
#include "turmeric/config/settings_tree.h"
#include "turmeric/gateway/claim_table.h"
#include "turmeric/gateway/upstream_pool.h"
#include "turmeric/store/memory_store.h"

INITIALIZE_EASYLOGGINGPP

namespace {

using turmeric::config::SettingsKey;
using turmeric::config::SettingsTree;
using turmeric::store::kAnyVersion;
using turmeric::store::MemoryStore;

size_t HeapInUse() {
  const struct mallinfo2 m = mallinfo2();
  return m.uordblks + m.hblkhd;
}

void SeedBusiness(MemoryStore& store) {
  store.Put(SettingsKey("group", "", ""),
            "deadline_ms = 6000\nmax_inflight = 64\n", kAnyVersion);
  store.Put(SettingsKey("business", "b", ""),
            "pool.llm.kind = engine\npool.llm.upstreams = "
            "127.0.0.1:1,127.0.0.1:2,127.0.0.1:3,127.0.0.1:4\n"
            "pool.enc.upstreams = 127.0.0.1:5,127.0.0.1:6\n",
            kAnyVersion);
  store.Put(SettingsKey("pipeline", "b", "p"),
            "stages = encode,generate\nstage.encode.pool = enc\n"
            "stage.generate.pool = llm\ndeadline_ms = 3000\n",
            kAnyVersion);
}

std::string OrganisationName(int i) {
  return "organisation-" + std::to_string(i);
}

/** Writes settings with two keys for each organisation.
 * @param distinct true: the settings texts of all organisations differ (worst
 *     case for memory); false: 50 texts are shared. */
void SeedOrganisations(MemoryStore& store, int n, bool distinct = false) {
  for (int i = 0; i < n; ++i) {
    store.Put(
        SettingsKey("organisation", "b", OrganisationName(i)),
        "max_inflight = " + std::to_string(distinct ? i + 1 : i % 50 + 1) +
            "\nretry_budget_percent = 5\n",
        kAnyVersion);
  }
}

// Memory of the settings tree on one instance, per organisation.
void BM_SettingsBytesPerOrganisation(benchmark::State& state) {
  const int n = static_cast<int>(state.range(0));
  MemoryStore store;
  SeedBusiness(store);
  SeedOrganisations(store, n, state.range(1) != 0);
  double bytes_per_org = 0;
  for (auto _ : state) {
    const size_t before = HeapInUse();
    auto tree = std::make_unique<SettingsTree>(store);
    benchmark::DoNotOptimize(tree->Arm());
    bytes_per_org = static_cast<double>(HeapInUse() - before) / n;
    state.PauseTiming();
    tree.reset();
    state.ResumeTiming();
  }
  state.counters["bytes_per_org"] = bytes_per_org;
}
// Arguments: number of organisations; 0 = 50 texts are shared, 1 = all texts
// differ.
BENCHMARK(BM_SettingsBytesPerOrganisation)
    ->Args({1000, 0})
    ->Args({49000, 0})
    ->Args({1000, 1})
    ->Args({49000, 1})
    ->Iterations(3)
    ->Unit(benchmark::kMillisecond);

// CPU time to resolve the settings of one request with 49,000 organisations in
// the settings tree.
void BM_ResolvePerRequest(benchmark::State& state) {
  MemoryStore store;
  SeedBusiness(store);
  SeedOrganisations(store, 49000);
  SettingsTree tree(store);
  tree.Arm();
  std::mt19937_64 rng(1);
  for (auto _ : state) {
    auto r = tree.Resolve("b", "p", OrganisationName(rng() % 49000));
    benchmark::DoNotOptimize(r);
  }
}
BENCHMARK(BM_ResolvePerRequest);

// CPU time on each watching instance to apply one configuration change, and
// store calls per change while the watches stay open.
void BM_ConfigChangeFanout(benchmark::State& state) {
  const int instances = static_cast<int>(state.range(0));
  MemoryStore store;
  SeedBusiness(store);
  SeedOrganisations(store, 100);
  std::vector<std::unique_ptr<SettingsTree>> trees;
  for (int i = 0; i < instances; ++i) {
    trees.push_back(std::make_unique<SettingsTree>(store));
    trees.back()->Arm();
  }
  const auto before = store.counts();
  int64_t changes = 0;
  size_t bytes = 0;
  for (auto _ : state) {
    const std::string value =
        "max_inflight = " + std::to_string(changes % 90 + 1) + "\n";
    const std::string key =
        SettingsKey("organisation", "b", OrganisationName(changes % 100));
    bytes += key.size() + value.size() + 16;  // key, value, version, revision
    store.Put(key, value, kAnyVersion);
    ++changes;
  }
  const auto after = store.counts();
  state.counters["instances"] = instances;
  state.counters["store_calls_per_change"] =
      static_cast<double>(after.reads + after.watches + after.writes -
                          before.reads - before.watches - before.writes) /
      static_cast<double>(changes);
  state.counters["event_bytes_per_instance"] =
      static_cast<double>(bytes) / static_cast<double>(changes);
  state.counters["ns_per_instance_apply"] = benchmark::Counter(
      static_cast<double>(changes) * instances,
      benchmark::Counter::kIsRate | benchmark::Counter::kInvert);
}
BENCHMARK(BM_ConfigChangeFanout)->Arg(1)->Arg(8)->Arg(64);

// CPU time to pick an upstream from a pool by power of two choices and to
// record the start and the end of its call; the argument is the number of
// upstreams.
void BM_UpstreamPick(benchmark::State& state) {
  turmeric::gateway::UpstreamPool pool;
  std::vector<turmeric::gateway::UpstreamRef> members;
  for (int i = 0; i < state.range(0); ++i) {
    members.push_back(std::make_shared<turmeric::gateway::UpstreamState>());
    members.back()->address = "127.0.0.1:" + std::to_string(9000 + i);
  }
  pool.SetMembers(members);
  std::mt19937_64 rng(1);
  for (auto _ : state) {
    const auto now = turmeric::gateway::Clock::now();
    auto upstream =
        pool.Pick(turmeric::gateway::RoutingPolicy::kPowerOfTwoEwma, rng, now);
    OnSend(*upstream);
    OnReport(*upstream, {turmeric::gateway::CallResult::kOk, 1.0, 1}, now);
  }
}
BENCHMARK(BM_UpstreamPick)->Arg(12)->Arg(120);

// Store calls and CPU time per non-idempotent request, which looks up, acquires
// and completes one claim.
void BM_ClaimPerNonIdempotentRequest(benchmark::State& state) {
  MemoryStore store;
  turmeric::gateway::ClaimTable table(store, "entry-1");
  int64_t n = 0;
  size_t value_bytes = 0;
  for (auto _ : state) {
    const turmeric::gateway::ClaimSubject subject{
        "claims/b/o/p/key-" + std::to_string(n++), "0123456789abcdef"};
    auto c = table.Acquire(table.Lookup(subject), 0);
    table.Complete(
        c, R"({"state":"ran","output":"a short answer of about this size"})",
        0);
  }
  auto list = store.List("claims/");
  for (const auto& o : list.value().objects) {
    value_bytes += o.key.size() + o.value.size();
  }
  const auto c = store.counts();
  state.counters["writes_per_request"] = static_cast<double>(c.writes) / n;
  state.counters["reads_per_request"] = static_cast<double>(c.reads - 1) / n;
  state.counters["stored_bytes_per_claim"] =
      static_cast<double>(value_bytes) / n;
}
BENCHMARK(BM_ClaimPerNonIdempotentRequest);

// Traffic, CPU time and memory of membership per node, by fleet size. The fleet
// is stable; all its nodes run in this process in virtual time.
void BM_MembershipPerNode(benchmark::State& state) {
  using turmeric::membership::testing::FakeNetwork;
  const int n = static_cast<int>(state.range(0));
  const size_t heap_before = HeapInUse();
  FakeNetwork net(1);
  for (int i = 0; i < n; ++i) net.Start(i, 100, n);
  net.Run(60000);
  const double heap = static_cast<double>(HeapInUse() - heap_before);
  const int agreeing = net.Agreeing(n);
  net.bytes = 0;
  net.messages = 0;
  int64_t seconds = 0;
  for (auto _ : state) {
    net.Run(1000);
    ++seconds;
  }
  const double node_seconds = static_cast<double>(seconds) * n;
  constexpr int kUdpIpHeader = 28;
  state.counters["agreeing_share"] = static_cast<double>(agreeing) / n;
  state.counters["bytes_per_node_s"] =
      static_cast<double>(net.bytes + net.messages * kUdpIpHeader) /
      node_seconds;
  state.counters["messages_per_node_s"] =
      static_cast<double>(net.messages) / node_seconds;
  state.counters["heap_bytes_per_node"] = heap / n;
  state.counters["cpu_us_per_node_s"] =
      benchmark::Counter(node_seconds * 1e-6, benchmark::Counter::kIsRate |
                                                  benchmark::Counter::kInvert);
}
BENCHMARK(BM_MembershipPerNode)
    ->Arg(8)
    ->Arg(64)
    ->Arg(256)
    ->Arg(1100)
    ->Iterations(30)
    ->Unit(benchmark::kMillisecond);

// Membership traffic and detection time under churn: in each iteration, a node
// is killed and is restarted when all other nodes have removed it, at most 60 s
// later; 10 s of virtual time follow. For comparison, 1,000 restarts a day are
// one in 86 s.
void BM_MembershipChurn(benchmark::State& state) {
  using turmeric::membership::testing::FakeNetwork;
  const int n = static_cast<int>(state.range(0));
  FakeNetwork net(1);
  for (int i = 0; i < n; ++i) net.Start(i, 100, n);
  net.Run(60000);
  net.bytes = 0;
  net.messages = 0;
  int64_t seconds = 0;
  int victim = 0;
  double detect_s = 0;
  for (auto _ : state) {
    net.nodes.erase(victim);
    int waited = 0;
    while (net.Agreeing(n - 1) < n - 1 && waited < 60) {
      net.Run(1000);
      ++waited;
    }
    detect_s = std::max(detect_s, static_cast<double>(waited));
    net.Start(victim, 200 + static_cast<uint64_t>(seconds), n);
    net.Run(10000);
    seconds += waited + 10;
    victim = (victim + 37) % n;
  }
  constexpr int kUdpIpHeader = 28;
  state.counters["slowest_agreement_s"] = detect_s;
  state.counters["bytes_per_node_s"] =
      static_cast<double>(net.bytes + net.messages * kUdpIpHeader) /
      (static_cast<double>(seconds) * n);
}
BENCHMARK(BM_MembershipChurn)
    ->Arg(8)
    ->Arg(256)
    ->Iterations(3)
    ->Unit(benchmark::kMillisecond);

}  // namespace

BENCHMARK_MAIN();
