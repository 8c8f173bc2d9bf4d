#pragma once

#include <cstdint>
#include <string>
#include <vector>

namespace turmeric::config {

/** One stage of a pipeline and the pool of upstreams that serves it. */
struct StageSpec {
  std::string name;                    ///< e.g. "encode", "generate".
  std::string pool;                    ///< Pool name, e.g. "llm".
  std::string kind = "service";        ///< "engine" or "service".
  std::vector<std::string> upstreams;  ///< "ip:port" each.
  bool idempotent = true;              ///< May be retried or hedged.
};

/** Settings in force for one (business, pipeline, organisation). */
struct ResolvedSettings {
  std::string business;
  std::string pipeline;
  std::string organisation;
  int deadline_ms = 6000;      ///< Longest deadline a caller may request, ms.
  int max_inflight = 64;       ///< Requests per organisation, one instance.
  int max_inflight_fleet = 0;  ///< Requests per organisation, fleet; 0: off.
  /** Load balancing policy: "p2c_ewma", "p2c" or "round_robin". */
  std::string routing = "p2c_ewma";
  int retry_budget_percent = 10;  ///< Retries per 100 first attempts.
  int hedge_percent = 0;          ///< Hedges per 100 first attempts; 0: off.
  int min_stage_ms = 5;           ///< A stage with less time left is shed, ms.
  std::vector<StageSpec> stages;
  int64_t revision = 0;  ///< Highest store revision of the levels used.
};

}  // namespace turmeric::config
