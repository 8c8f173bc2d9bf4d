#pragma once

#include <map>
#include <optional>
#include <string>

#include "turmeric/config/entry_settings.h"
#include "turmeric/engines/engine_room.h"
#include "turmeric/engines/output_estimate.h"
#include "turmeric/entry/backlog_reports.h"
#include "turmeric/entry/cold_limiter.h"
#include "turmeric/entry/drain_policy.h"
#include "turmeric/entry/retry_budgets.h"
#include "turmeric/entry/revision_gossip.h"
#include "turmeric/entry/stage_client.h"
#include "turmeric/entry/start_waiters.h"
#include "turmeric/entry/upstream_client.h"
#include "turmeric/entry/usual_deadlines.h"
#include "turmeric/entry/wire_format.h"
#include "turmeric/memory/memory_account.h"
#include "turmeric/routing/prompt_memory.h"
#include "turmeric/routing/route_table.h"
#include "turmeric/routing/upstream_table.h"
#include "turmeric/stages/engine_times.h"
#include "turmeric/stages/stage_times.h"

namespace turmeric::entry {

class BrittleUpstreams;
class ConfigCheck;
class EnginePlacer;
class EntryMetrics;
class MemoryGuard;
class FairShares;
class ReachMonitor;
class RequestQuarantine;
class StreamOrigins;
class UpstreamAvailability;
class UpstreamConnections;
class UpstreamLimiter;

/** State of one instance that is shared by its requests. */
struct EntryContext {
  EntryContext(config::EntrySettings s, WireFormat w)
      : settings(std::move(s)),
        wire(std::move(w)),
        retries(
            {settings.retry_ratio, settings.retry_slack, settings.retry_window},
            settings.first_start),
        cold_limiter({settings.cold_over, settings.cold_slack}, settings.name),
        memory(static_cast<size_t>(settings.memory_mb * kBytesPerMb *
                                   settings.buffer_share)),
        request_memory(static_cast<size_t>(settings.memory_mb * kBytesPerMb *
                                           settings.request_share)),
        partial_request_bound(static_cast<size_t>(
            settings.memory_mb * kBytesPerMb * settings.partial_share)),
        connection_bound(static_cast<size_t>(settings.memory_mb * kBytesPerMb *
                                             settings.connection_share)) {
    cold_limiter.set_enabled(Uses(config::Mechanism::kColdLimit));
    if (!Uses(config::Mechanism::kRepeats)) retries.set_limits({});
  }

  /**
   * @param service name of a service.
   * @return its settings, or nullptr.
   */
  const routing::ServiceSpec* FindService(const std::string& service) const {
    return table ? table->FindService(service) : nullptr;
  }

  /**
   * @param mechanism a mechanism that settings can disable.
   * @return true if it is enabled.
   */
  bool Uses(config::Mechanism mechanism) const {
    return settings.mechanisms.Uses(mechanism);
  }

  /**
   * Records the outcome of an exchange with an upstream, for later choices.
   * @param upstream the upstream.
   * @param outcome how the exchange ended.
   * @param ms time to the first byte of the answer.
   */
  void RecordOutcome(routing::Upstream& upstream, routing::Outcome outcome,
                     double ms) const {
    NoteOutcome(upstream, outcome, ms, routing::Clock::now());
    if (!Uses(config::Mechanism::kEjection)) upstream.ejected_until = {};
  }

  static constexpr double kBytesPerMb = 1024 * 1024;

  config::EntrySettings settings;
  WireFormat wire;
  routing::RouteTablePtr table;  ///< Null until the first table was read.
  routing::UpstreamTable upstreams;
  bool upstreams_known = false;    ///< The list of upstreams has been read.
  bool store_unreachable = false;  ///< Calls to the store fail.
  StartWaiters start_waiters;
  UpstreamClient client;
  RetryBudgets retries;
  ColdLimiter cold_limiter;
  /** Bytes that this instance holds in buffers. */
  memory::MemoryAccount memory;
  /** Bytes of large requests, until they are answered. */
  memory::MemoryAccount request_memory;
  /** Bytes that incomplete requests may hold which are not large; 0: no bound.
   */
  size_t partial_request_bound = 0;
  /** Bytes that connections of callers may hold without their requests; 0: no
   * bound. */
  size_t connection_bound = 0;
  stages::StageTimes stage_times;
  stages::EngineTimes engine_times;
  UsualDeadlines usual_deadlines;
  /** Exchanges store revisions with the other instances. */
  RevisionGossip revision_gossip;
  /** When the last change of an upstream's speed was logged, by service. */
  std::map<std::string, routing::Clock::time_point> speed_logged_at;
  /** Queue lengths reported by other instances. */
  BacklogReports backlog_reports;
  /** Start of the planned stop; nullopt: no stop has begun. */
  std::optional<routing::Clock::time_point> stopping_since;
  /** @return the schedule of the planned stop; nullopt: none has begun. */
  std::optional<StopSchedule> stop() const {
    if (!stopping_since) return std::nullopt;
    return ScheduleStop(*stopping_since, settings.stop_grace);
  }
  /**
   * Prompt parts that engines are assumed to hold, from placements by this
   * instance.
   */
  routing::PromptMemory prompt_memory;
  /** Memory that the placements by this instance occupy. */
  engines::EngineRoom engine_room;
  /** Output lengths of the streams that this instance has served. */
  engines::OutputEstimate output_estimate;
  ConfigCheck* config_check = nullptr;
  StageClient* stages = nullptr;
  EnginePlacer* placer = nullptr;
  RequestQuarantine* quarantine = nullptr;
  UpstreamLimiter* limiter = nullptr;
  BrittleUpstreams* brittle = nullptr;
  UpstreamAvailability* availability = nullptr;
  UpstreamConnections* connections = nullptr;
  ReachMonitor* reach = nullptr;
  StreamOrigins* origins = nullptr;
  EntryMetrics* metrics = nullptr;
  MemoryGuard* memory_guard = nullptr;
  FairShares* shares = nullptr;
};

}  // namespace turmeric::entry
