#pragma once

#include <cstdint>
#include <string>
#include <vector>

namespace turmeric::config {

/** One stage of a pipeline, with the pool that serves it. */
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
  int deadline_ms = 6000;      ///< Longest deadline a caller may ask.
  int max_inflight = 64;       ///< Per organisation on one instance.
  int max_inflight_fleet = 0;  ///< Per organisation, all instances; 0: off.
  /** "p2c_ewma", "p2c" or "round_robin". */
  std::string routing = "p2c_ewma";
  int retry_budget_percent = 10;  ///< Retries per 100 first attempts.
  int hedge_percent = 0;          ///< Hedges per 100 first attempts; 0: off.
  int min_stage_ms = 5;           ///< Budget under which a stage is shed.
  std::vector<StageSpec> stages;
  int64_t revision = 0;  ///< Highest store revision used.
};

}  // namespace turmeric::config
