#pragma once

#include <chrono>
#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace turmeric::routing {

/** Whether requests of a route may run more than once. */
enum class RequestKind {
  kSafe,    ///< Idempotent: may run more than once.
  kUnsafe,  ///< Runs at most once per attempt of the caller.
  kStream,  ///< An event stream; runs at most once unless it is resumable.
};

/** A service that a route's requests go to, with its relative weight. */
struct RouteTarget {
  std::string service;
  int weight = 1;
};

/** A stage: work of a stage service that a request needs before it can run. */
struct StageSpec {
  std::string service;
  std::vector<int> after;    ///< Indexes of the stages whose results it needs.
  int64_t result_bytes = 0;  ///< Approximate size of one result.
};

/** One route of the configuration. */
struct Route {
  std::string name;
  std::string host;
  std::string path_prefix;  ///< Begins and ends with a slash.
  RequestKind kind = RequestKind::kUnsafe;
  std::chrono::milliseconds timeout{0};  ///< Longest time to the final answer.
  std::chrono::milliseconds latency_target{0};
  /** Callers abandon a request if no part of the answer has arrived within this
   * time; 0: they wait until their deadline. */
  std::chrono::milliseconds first_byte_timeout{0};
  int priority = 0;      ///< Rank; 0 is served first.
  int max_attempts = 1;  ///< Upstreams one request may be sent to.
  std::vector<RouteTarget> targets;
  std::vector<StageSpec> stages;
  bool is_public = false;       ///< Requests need no API key.
  bool resumable = false;       ///< A stream may continue at another upstream.
  bool carries_prompt = false;  ///< Served by engines with a prefix cache.

  /** @return true if its streams may be resumed at another upstream. */
  bool resumes_streams() const {
    return kind == RequestKind::kStream && resumable;
  }
  /** @return true if a request may be retried although it may have run. */
  bool retryable() const {
    return kind == RequestKind::kSafe || resumes_streams();
  }
};

/** How calls for stage work are made to one upstream. */
struct StageCallLimits {
  int slots = 1;        ///< Calls in progress at once.
  int queue = 0;        ///< Calls that may wait at the upstream.
  int batch = 1;        ///< Most pieces (units of stage work) in one call.
  double call_ms = 0;   ///< Fixed part of a call's duration.
  double piece_ms = 0;  ///< Approximate duration added by each piece.
  int64_t result_memory_bytes = 0;  ///< Memory for results.
  double result_retention_s = 0;    ///< How long an unread result is kept.
};

/** One service of the configuration. */
struct ServiceSpec {
  std::string name;
  std::string health_path;
  int max_connections = 0;  ///< Per upstream, from all instances together.
  bool is_engine = false;
  int engine_slots = 0;       ///< Requests an engine runs at once.
  int64_t engine_tokens = 0;  ///< Memory of an engine, in tokens.
  std::optional<StageCallLimits> stage;
  /** How long an upstream is cold after its start. */
  std::chrono::milliseconds cold_start{0};
  /** Arrivals per second that a cold upstream can serve; 0: unlimited. */
  double cold_per_s = 0;
};

/** An organisation whose callers may send requests. */
struct Organisation {
  std::string name;
  std::optional<int> priority;  ///< Overrides the route's priority if set.
};

/** Limits on the size of a caller's requests, and timeouts of its connection.
 */
struct CallerLimits {
  size_t max_header_bytes = 16 * 1024;
  size_t max_body_bytes = 4 * 1024 * 1024;
  std::chrono::milliseconds header_timeout{3000};
  std::chrono::milliseconds idle_timeout{15000};
};

/** One accepted configuration in decoded form; immutable once built. */
struct RouteTable {
  int64_t version = 0;
  std::vector<Route> routes;
  std::unordered_map<std::string, ServiceSpec> services;
  std::unordered_map<std::string, Organisation> organisation_by_key;
  bool has_organisations = false;
  CallerLimits limits;
  size_t organisation_count = 0;  ///< Organisations with different names.
  /** Names of fields with a limit out of range, of which the default holds. */
  std::set<std::string> ignored_limits;
  /** Names of organisations that are left out, as they cannot be sent. */
  std::set<std::string> ignored_organisations;

  /**
   * @param host the Host header; a port in it is ignored.
   * @param path path and query.
   * @return the host's route with the longest matching prefix, or nullptr.
   */
  const Route* Match(std::string_view host, std::string_view path) const;
  /** @param name a service. @return its settings, or nullptr. */
  const ServiceSpec* FindService(const std::string& name) const;
};

/** The configuration in force, shared by its readers. */
using RouteTablePtr = std::shared_ptr<const RouteTable>;

/**
 * @param targets a route's services and weights; not empty.
 * @param draw random number, uniform in [0, 1).
 * @return the service drawn.
 */
const std::string& PickTarget(const std::vector<RouteTarget>& targets,
                              double draw);

}  // namespace turmeric::routing
