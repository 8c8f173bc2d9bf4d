#pragma once

#include <chrono>
#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace turmeric::routing {

/** What may be repeated of a route's requests. */
enum class RequestKind {
  kSafe,    ///< Idempotent: may run more than once.
  kUnsafe,  ///< At most once per attempt of the caller.
  kStream,  ///< An event stream; at most once unless it can be resumed.
};

/** A service that a route's requests go to, with its share. */
struct RouteTarget {
  std::string service;
  int weight = 1;
};

/** Work that must be done before a request can run. */
struct StageSpec {
  std::string service;
  std::vector<int> after;    ///< Stages whose results it needs.
  int64_t result_bytes = 0;  ///< Approximate size of one result.
};

/** One route of the configuration. */
struct Route {
  std::string name;
  std::string host;
  std::string path_prefix;  ///< Begins and ends with a slash.
  RequestKind kind = RequestKind::kUnsafe;
  std::chrono::milliseconds timeout{0};  ///< Longest time to a final answer.
  std::chrono::milliseconds latency_target{0};
  /** Callers give up if nothing of the answer came by then; 0: never before
   * their deadline. */
  std::chrono::milliseconds patience{0};
  int priority = 0;      ///< Rank, 0 first.
  int max_attempts = 1;  ///< Upstreams one request may be sent to.
  std::vector<RouteTarget> targets;
  std::vector<StageSpec> stages;
  bool is_public = false;       ///< No key needed.
  bool resumable = false;       ///< A stream may go on at another upstream.
  bool carries_prompt = false;  ///< Served by engines with a prefix cache.

  /** @return true if a request may be sent again after it may have run. */
  bool repeatable() const {
    return kind == RequestKind::kSafe ||
           (kind == RequestKind::kStream && resumable);
  }
};

/** How calls for stage work are made to one upstream. */
struct StageCallLimits {
  int slots = 1;           ///< Calls in progress at once.
  int queue = 0;           ///< Calls that may wait.
  int batch = 1;           ///< Pieces in one call.
  double call_ms = 0;      ///< Fixed time of a call.
  double piece_ms = 0;     ///< Time a piece adds, approximate.
  int64_t room_bytes = 0;  ///< Memory for results.
  double keep_s = 0;       ///< How long a result is kept unread.
};

/** One service of the configuration. */
struct ServiceSpec {
  std::string name;
  std::string health_path;
  int max_connections = 0;  ///< Per upstream, from all callers together.
  bool is_engine = false;
  int engine_slots = 0;       ///< Requests an engine runs at once.
  int64_t engine_tokens = 0;  ///< Memory of an engine.
  std::optional<StageCallLimits> stage;
  /** How long an upstream is cold after its start. */
  std::chrono::milliseconds cold_start{0};
  double cold_per_s = 0;  ///< Arrivals a second it bears then; 0: any number.
};

/** Who may call, and by which rank. */
struct Organisation {
  std::string name;
  std::optional<int> priority;  ///< Goes before the route's, if stated.
};

/** What a caller may send and how long it may take. */
struct CallerLimits {
  size_t max_header_bytes = 16 * 1024;
  size_t max_body_bytes = 4 * 1024 * 1024;
  std::chrono::milliseconds header_timeout{3000};
  std::chrono::milliseconds idle_timeout{15000};
};

/** One accepted configuration, decoded; immutable once built. */
struct RouteTable {
  int64_t version = 0;
  std::vector<Route> routes;
  std::unordered_map<std::string, ServiceSpec> services;
  std::unordered_map<std::string, Organisation> organisation_by_key;
  bool has_organisations = false;
  CallerLimits limits;

  /**
   * @param host the Host header; a port in it is ignored.
   * @param path path and query.
   * @return the host's route with the longest matching prefix, or nullptr.
   */
  const Route* Match(std::string_view host, std::string_view path) const;
  /** @param name a service. @return its settings, or nullptr. */
  const ServiceSpec* FindService(const std::string& name) const;
};

/** The configuration in force, shared by all that read it. */
using RouteTablePtr = std::shared_ptr<const RouteTable>;

/**
 * @param targets a route's services and weights; not empty.
 * @param draw uniform in [0, 1).
 * @return the service drawn.
 */
const std::string& PickTarget(const std::vector<RouteTarget>& targets,
                              double draw);

}  // namespace turmeric::routing
