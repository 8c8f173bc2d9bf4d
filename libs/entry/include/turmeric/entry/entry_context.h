#pragma once

#include <optional>

#include "turmeric/config/entry_settings.h"
#include "turmeric/entry/backlog_board.h"
#include "turmeric/entry/cold_guard.h"
#include "turmeric/entry/drain_policy.h"
#include "turmeric/entry/retry_budgets.h"
#include "turmeric/entry/stage_client.h"
#include "turmeric/entry/store_news.h"
#include "turmeric/entry/upstream_client.h"
#include "turmeric/entry/usual_deadlines.h"
#include "turmeric/entry/wire_format.h"
#include "turmeric/routing/prompt_memory.h"
#include "turmeric/routing/route_table.h"
#include "turmeric/routing/upstream_table.h"
#include "turmeric/stages/engine_times.h"
#include "turmeric/stages/stage_times.h"

namespace turmeric::entry {

class ConfigCheck;
class EnginePlacer;
class EntryMetrics;
class RequestQuarantine;

/** What one instance knows and shares among its requests. */
struct EntryContext {
  EntryContext(config::EntrySettings s, WireFormat w)
      : settings(std::move(s)),
        wire(std::move(w)),
        retries(
            {settings.retry_ratio, settings.retry_slack, settings.retry_window},
            settings.first_start),
        cold({settings.cold_over, settings.cold_slack}, settings.name) {
    cold.set_on(Uses(config::Mechanism::kColdLimit));
    if (!Uses(config::Mechanism::kRepeats)) retries.set_limits({});
  }

  /** @param service its name. @return its settings, or nullptr. */
  const routing::ServiceSpec* FindService(const std::string& service) const {
    return table ? table->FindService(service) : nullptr;
  }

  /** @param mechanism one of them. @return true if it is in use. */
  bool Uses(config::Mechanism mechanism) const {
    return settings.mechanisms.Uses(mechanism);
  }

  /**
   * Keeps how an exchange with an upstream went, for later choices.
   * @param upstream where it was. @param outcome how it ended.
   * @param ms time to the answer's first byte.
   */
  void Note(routing::Upstream& upstream, routing::Outcome outcome,
            double ms) const {
    NoteOutcome(upstream, outcome, ms, routing::Clock::now());
    if (!Uses(config::Mechanism::kEjection)) upstream.ejected_till = {};
  }

  config::EntrySettings settings;
  WireFormat wire;
  routing::RouteTablePtr table;  ///< Null until the first is read.
  routing::UpstreamTable upstreams;
  bool upstreams_known = false;  ///< Their list was read at least once.
  bool store_away = false;       ///< Calls to the store fail.
  UpstreamClient client;
  RetryBudgets retries;
  ColdGuard cold;
  stages::StageTimes stage_times;
  stages::EngineTimes engine_times;
  UsualDeadlines usual_deadlines;
  StoreNews news;         ///< Between instances.
  BacklogBoard backlogs;  ///< Of stage services that others own.
  /** When a planned stop began; none: it has not. */
  std::optional<routing::Clock::time_point> stopping_since;
  /** @return the schedule of a planned stop; none: none has begun. */
  std::optional<StopSchedule> stop() const {
    if (!stopping_since) return std::nullopt;
    return ScheduleStop(*stopping_since, settings.stop_grace);
  }
  /** What engines hold of the prompts that this instance placed. */
  routing::PromptMemory prompt_memory;
  ConfigCheck* config_check = nullptr;
  StageClient* stages = nullptr;
  EnginePlacer* placer = nullptr;
  RequestQuarantine* quarantine = nullptr;
  EntryMetrics* metrics = nullptr;
};

}  // namespace turmeric::entry
