#pragma once

#include <array>
#include <chrono>
#include <cstdint>
#include <optional>
#include <span>
#include <string>
#include <vector>

#include "turmeric/connections/loan.h"
#include "turmeric/fairness/demand_report.h"
#include "turmeric/fairness/share_plan.h"
#include "turmeric/limits/brittle_state.h"
#include "turmeric/limits/limit_statement.h"
#include "turmeric/quarantine/crash.h"
#include "turmeric/routing/upstream.h"
#include "turmeric/stages/piece.h"
#include "turmeric/streams/stream_id.h"
#include "turmeric/streams/stream_origin.h"

namespace turmeric::peer {

/** Orders a piece, the unit of work of a stage service, from the instance that
 * queues the pieces of its shard. */
struct PieceOrder {
  uint64_t ticket = 0;  ///< Unique within one process incarnation.
  std::string service;  ///< Name of a shard of a stage service.
  stages::Piece piece;
};

/** Reports the result of a piece to the instance that ordered it. */
struct PieceDone {
  uint64_t ticket = 0;
  stages::PieceResult result;
};

/** Releases results of one shard that are no longer needed. */
struct ReleaseOrder {
  std::string service;
  std::vector<std::string> handles;
};

/** Backlog of one shard whose queue the sender holds. */
struct Backlog {
  std::string service;
  double calls = 0;  ///< Calls waiting per upstream of the shard.
};

/** Requests a placement, the choice of an engine for a request, from the
 * instance that places the requests of a cell. */
struct PlacementOrder {
  uint64_t ticket = 0;  ///< Unique within one process incarnation.
  std::string service;  ///< Name of a cell of an engine service.
  /** Id of the first part of the prompt, which many requests share; empty:
   * none. */
  std::string shared_part;
  /** Id of the prompt part shared only by requests of one session; empty:
   * none. */
  std::string session_part;
  int shared_tokens = 0;
  int session_tokens = 0;
  int prompt_tokens = 0;  ///< Tokens of the whole prompt.
  std::string zone;       ///< Preferred availability zone; empty: none.
  int zone_cost_ms = 0;   ///< Cost of using another zone, as waiting time.
  std::vector<std::string> excluded;  ///< Upstream ids not to be chosen.
  std::string version = {};           ///< Software version; empty: any.
  int output_tokens = 0;              ///< Expected; from a peer of any value.
};

/** Answers a PlacementOrder with the chosen engine. */
struct Placed {
  uint64_t ticket = 0;
  std::string upstream;  ///< Id of the chosen engine; empty: none is left.
};

/** Reports the end of a placed request to the instance that placed it. */
struct PlacementEnd {
  uint64_t ticket = 0;
  /** Outcome of the call to the engine; nullopt: the end of the request gives
   * no evidence about the engine. */
  std::optional<routing::Outcome> outcome;
};

/** Kinds of objects of the platform's store whose changes instances relay to
 * each other. */
enum class StoreKind : int8_t { kConfig, kUpstreams, kEvacuations };

inline constexpr std::array kAllStoreKinds = {
    StoreKind::kConfig, StoreKind::kUpstreams, StoreKind::kEvacuations};

/** One store revision per kind; 0: none is known. */
struct StoreRevisions {
  int64_t config = 0;
  int64_t upstreams = 0;
  int64_t evacuations = 0;

  /** @param kind kind of store objects. @return the revision of that kind. */
  int64_t& Of(StoreKind kind) {
    switch (kind) {
      case StoreKind::kConfig:
        return config;
      case StoreKind::kUpstreams:
        return upstreams;
      default:
        return evacuations;
    }
  }
  int64_t Of(StoreKind kind) const {
    StoreRevisions copy = *this;
    return copy.Of(kind);
  }
};

/** One object of the store, as read from the store. */
struct StoreObject {
  std::string name;
  std::string spec;      ///< JSON text; empty if deleted.
  bool packed = false;   ///< True if `spec` is compressed.
  int64_t revision = 0;  ///< Store-wide revision of the last change.
  bool deleted = false;
};

/** All changes of one kind after revision `follows`, up to and including
 * `revision`. */
struct StoreChanges {
  StoreKind kind = StoreKind::kConfig;
  int64_t follows = 0;
  int64_t revision = 0;
  std::vector<StoreObject> objects;
  uint64_t held_before = 0;  ///< See store::ChangeBatch.
};

/** Subscribes the sender to the store changes that the receiver relays. The
 * sender renews the subscription every second or two; otherwise the
 * subscription expires. */
struct FollowRequest {
  bool wanted = true;   ///< False ends the subscription.
  bool resync = false;  ///< Send all changes after `known`.
  StoreRevisions known;
};

/** State of a relay, an instance that passes the store's changes on to others:
 * how current its copy of the store is. */
struct RelayStatus {
  /** Elapsed time since any instance on the sender's path to the store last
   * received from the store. */
  std::chrono::milliseconds store_age{0};
  /** Elapsed time since the store's last outage ended; nullopt: no outage is
   * known. */
  std::optional<std::chrono::milliseconds> outage_ended;
  StoreRevisions known;  ///< Revisions up to which the sender has all changes.
  /** Elapsed time since the sender was last known to have all configurations
   * that the store had accepted; nullopt: the sender was never known to. */
  std::optional<std::chrono::milliseconds> config_age;
};

/** Reports the rate limit that an answer of an upstream has stated. */
struct LimitNotice {
  std::string upstream;  ///< Process incarnation.
  limits::LimitStatement statement;
};

/** Requests a permit to send one request to an upstream with a rate limit, from
 * an instance that issues them. */
struct PermitOrder {
  uint64_t ticket = 0;  ///< Unique within one process incarnation.
  std::string service;
  /** Process incarnation; empty: any upstream of the service with a limit. */
  std::string upstream;
  std::vector<std::string> excluded;      ///< Upstream ids not to be chosen.
  std::chrono::milliseconds max_wait{0};  ///< Longest wait for the permit.
  std::string version = {};               ///< Software version; empty: any.
};

/** Answers a PermitOrder. */
struct Permit {
  uint64_t ticket = 0;
  std::string upstream;  ///< Process incarnation; empty: refused.
  /** Time until the permit may be used; if refused, until one is expected. */
  std::chrono::milliseconds wait{0};
  /** Refused because the issuer knows no limit of the upstream. */
  bool limit_unknown = false;
};

/** Reports whether an upstream is brittle, as its answer has stated. */
struct BrittleNotice {
  std::string upstream;  ///< Process incarnation.
  limits::BrittleStatement statement;
};

/** Reports that an upstream does not take requests, as its answer has
 * stated. */
struct AvailabilityNotice {
  std::string upstream;  ///< Process incarnation.
  bool leaving = false;  ///< It leaves, which is final.
  /** Time for which it wants no request from the sender; 0: none. */
  std::chrono::milliseconds rest{0};
};

/** Records at a peer which software began a stream. */
struct StreamRecord {
  streams::StreamId id;
  streams::StreamOrigin origin;
};

/** Asks for the origin of a stream. */
struct OriginQuery {
  uint64_t ticket = 0;  ///< Unique within one process incarnation.
  streams::StreamId id;
  std::vector<std::string> services;  ///< At one of which the stream began.
};

/** Answers an OriginQuery. */
struct OriginAnswer {
  uint64_t ticket = 0;
  std::optional<streams::StreamOrigin> origin;  ///< nullopt: not known.
  /** Versions of the services asked for that are known to be registered. */
  std::vector<streams::StreamOrigin> versions;
};

/** Whether an instance reaches any upstream by connections of its own. */
enum class ReachStatement {
  kNone,  ///< The frame states nothing.
  kReaches,
  kPartitioned,  ///< Repeated while it holds.
};

/** Whether an instance can serve the connections that callers open to it. */
enum class LoadStatement {
  kNone,  ///< The frame states nothing.
  kWithinMeans,
  kOverloaded,  ///< Repeated while it holds.
};

/** Whether an instance borrows connections to upstreams from others. */
enum class LoanStatement {
  kNone,  ///< The frame is not the first one, or the release has no loans.
  kNoLoans,
  kHasLoans,
};

/** Answers a fairness::DemandReport with the plan in force. */
struct SharePlanNotice {
  std::string service;
  fairness::SharePlan plan;
};

/** One message between two instances. */
struct Frame {
  std::string sender;         ///< Identity; set in the first frame only.
  uint64_t sequence = 0;      ///< 0: no acknowledgement is requested.
  uint64_t acknowledged = 0;  ///< Highest sequence received.
  bool leaving = false;       ///< The sender has begun a planned stop.
  std::vector<PieceOrder> pieces;
  std::vector<uint64_t> taken;  ///< Tickets of pieces with fetched inputs.
  std::vector<PieceDone> done;
  std::vector<uint64_t> cancelled;  ///< Tickets of pieces to be cancelled.
  std::vector<ReleaseOrder> releases;
  std::vector<Backlog> backlogs;
  std::vector<PlacementOrder> placements;
  std::vector<Placed> placed;
  /** Tickets of placements whose answer has begun. */
  std::vector<uint64_t> prompts_read;
  std::vector<PlacementEnd> ended;
  /** Revisions of the newest changes in the platform's store that the sender
   * has received. */
  StoreRevisions newest_revisions;
  std::optional<FollowRequest> follow;
  std::optional<RelayStatus> relay;
  std::vector<StoreChanges> store_changes;
  /** Upstream processes that ended while they had a request. */
  std::vector<quarantine::Crash> crashes;
  /** Good runs of requests with known crashes. */
  std::vector<quarantine::GoodRun> good_runs;
  /** Trials of requests whose quarantine has ended. */
  std::vector<quarantine::Trial> trials;
  std::vector<LimitNotice> limit_notices;
  std::vector<PermitOrder> permit_orders;
  std::vector<Permit> permits;
  std::vector<BrittleNotice> brittle_notices;
  std::vector<AvailabilityNotice> availability_notices;
  /** Registered software versions of services. */
  std::vector<streams::StreamOrigin> versions;
  std::vector<StreamRecord> stream_records;
  std::vector<OriginQuery> origin_queries;
  std::vector<OriginAnswer> origin_answers;
  ReachStatement reach = ReachStatement::kNone;
  std::vector<connections::LoanOrder> loan_orders;
  std::vector<connections::LoanGrant> loan_grants;
  LoadStatement load = LoadStatement::kNone;
  LoanStatement loans = LoanStatement::kNone;
  /** Number of a survey; see connections::LoanSurvey. 0: none. */
  uint64_t loan_survey = 0;
  uint64_t loan_survey_answered = 0;  ///< Answered by `loans`; 0: none.
  std::vector<fairness::DemandReport> demand_reports;
  std::vector<SharePlanNotice> share_plans;
};

/**
 * @param frame the message.
 * @param now current time. Times are sent relative to it, as clocks differ
 *     between instances.
 * @return the encoded bytes, without the length prefix.
 */
std::vector<uint8_t> Encode(const Frame& frame, stages::Clock::time_point now);

/**
 * @param bytes one encoded message, without the length prefix.
 * @param now current time. Relative times in the message are added to it.
 * @return the message, or nullopt if the bytes are malformed.
 */
std::optional<Frame> Decode(std::span<const uint8_t> bytes,
                            stages::Clock::time_point now);

}  // namespace turmeric::peer
