#include "load_phase.h"

#include <sys/resource.h>

#include <chrono>
#include <cstdio>

namespace turmeric::ctl {

double CpuSeconds() {
  rusage u{};
  getrusage(RUSAGE_SELF, &u);
  return u.ru_utime.tv_sec + u.ru_stime.tv_sec +
         (u.ru_utime.tv_usec + u.ru_stime.tv_usec) / 1e6;
}

QJsonObject SummaryJson(const LoadSummary& s) {
  return {{"count", s.count},
          {"attainment", s.attainment()},
          {"ran", s.ran},
          {"not_run", s.not_run},
          {"failed", s.failed},
          {"unknown", s.unknown},
          {"no_answer", s.no_answer},
          {"misdelivered", s.misdelivered},
          {"p50_ms", s.p50_ms},
          {"p99_ms", s.p99_ms}};
}

void PrintSummary(const std::string& label, const LoadSummary& s,
                  double seconds) {
  std::printf(
      "%-28s n=%5d attain=%6.2f%% p50=%7.2fms p99=%7.2fms rps=%7.1f "
      "ran=%d not_run=%d failed=%d unknown=%d no_answer=%d misdelivered=%d",
      label.c_str(), s.count, 100 * s.attainment(), s.p50_ms, s.p99_ms,
      seconds > 0 ? s.count / seconds : 0.0, s.ran, s.not_run, s.failed,
      s.unknown, s.no_answer, s.misdelivered);
  for (const auto& [error, count] : s.errors) {
    std::printf(" %s=%d", error.c_str(), count);
  }
  std::printf("\n");
}

Phase RunPhase(int total, int concurrency, int max_retries, RequestMaker make) {
  Phase p;
  const double cpu0 = CpuSeconds();
  const auto t0 = std::chrono::steady_clock::now();
  LoadRunner runner(concurrency, total, kDeadlineMs, max_retries,
                    std::move(make));
  p.results = runner.Run(kTimeCapMs);
  p.seconds =
      std::chrono::duration<double>(std::chrono::steady_clock::now() - t0)
          .count();
  p.cpu_seconds = CpuSeconds() - cpu0;
  p.summary = Summarize(p.results, "");
  return p;
}

}  // namespace turmeric::ctl
