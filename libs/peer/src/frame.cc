#include "turmeric/peer/frame.h"

#include <algorithm>
#include <iterator>

#include "details/loan_parts.h"
#include "details/peer_generated.h"
#include "details/share_parts.h"

namespace turmeric::peer {

using flatbuffers::FlatBufferBuilder;
using flatbuffers::Offset;
using stages::Clock;
using stages::PieceFailure;
using std::chrono::milliseconds;

namespace {

/** Relative times are clamped to one day either way. */
constexpr int64_t kMaxRelativeMs = 24LL * 3600 * 1000;

int32_t RelativeMs(Clock::time_point at, Clock::time_point now) {
  const auto ms = std::chrono::duration_cast<milliseconds>(at - now).count();
  return static_cast<int32_t>(
      std::clamp<int64_t>(ms, -kMaxRelativeMs, kMaxRelativeMs));
}

int32_t NonNegativeMs(milliseconds time) {
  return static_cast<int32_t>(
      std::clamp<int64_t>(time.count(), 0, kMaxRelativeMs));
}

std::string Text(const flatbuffers::String* s) { return s ? s->str() : ""; }

using TextList = flatbuffers::Vector<Offset<flatbuffers::String>>;

std::vector<std::string> Texts(const TextList* list) {
  std::vector<std::string> out;
  if (list == nullptr) return out;
  std::ranges::transform(*list, std::back_inserter(out),
                         [](const auto* s) { return Text(s); });
  return out;
}

Offset<TextList> WriteTexts(FlatBufferBuilder& builder,
                            const std::vector<std::string>& texts) {
  return builder.CreateVectorOfStrings(texts);
}

Offset<wire::Piece> Write(FlatBufferBuilder& b, const PieceOrder& order,
                          Clock::time_point now) {
  const stages::Piece& p = order.piece;
  return wire::CreatePiece(
      b, order.ticket, b.CreateSharedString(order.service),
      b.CreateSharedString(p.request_id), p.stage, p.index,
      b.CreateSharedString(p.key), WriteTexts(b, p.inputs), p.result_bytes,
      p.rank, RelativeMs(p.due, now), RelativeMs(p.deadline, now),
      b.CreateSharedString(p.zone), WriteTexts(b, p.next_services),
      b.CreateSharedString(p.fingerprint), p.retried);
}

Offset<wire::PieceDone> Write(FlatBufferBuilder& b, const PieceDone& done) {
  return wire::CreatePieceDone(b, done.ticket,
                               static_cast<int8_t>(done.result.failure),
                               b.CreateString(done.result.handle),
                               b.CreateSharedString(done.result.zone),
                               NonNegativeMs(done.result.available_in));
}

Offset<wire::Release> Write(FlatBufferBuilder& b, const ReleaseOrder& order) {
  return wire::CreateRelease(b, b.CreateSharedString(order.service),
                             WriteTexts(b, order.handles));
}

Offset<wire::PlacementOrder> Write(FlatBufferBuilder& b,
                                   const PlacementOrder& order) {
  return wire::CreatePlacementOrder(
      b, order.ticket, b.CreateSharedString(order.service),
      b.CreateString(order.shared_part), b.CreateString(order.session_part),
      order.shared_tokens, order.session_tokens, order.prompt_tokens,
      b.CreateSharedString(order.zone), order.zone_cost_ms,
      WriteTexts(b, order.excluded), b.CreateSharedString(order.version),
      order.output_tokens);
}

PlacementOrder Read(const wire::PlacementOrder& o) {
  return {.ticket = o.ticket(),
          .service = Text(o.service()),
          .shared_part = Text(o.shared_part()),
          .session_part = Text(o.session_part()),
          .shared_tokens = o.shared_tokens(),
          .session_tokens = o.session_tokens(),
          .prompt_tokens = o.prompt_tokens(),
          .zone = Text(o.zone()),
          .zone_cost_ms = o.zone_cost_ms(),
          .excluded = Texts(o.excluded()),
          .version = Text(o.version()),
          .output_tokens = o.output_tokens()};
}

/** Wire value of a PlacementEnd without an outcome. */
constexpr int8_t kNoOutcome = -1;

Offset<wire::PlacementEnd> Write(FlatBufferBuilder& b,
                                 const PlacementEnd& end) {
  return wire::CreatePlacementEnd(
      b, end.ticket,
      end.outcome ? static_cast<int8_t>(*end.outcome) : kNoOutcome);
}

PlacementEnd Read(const wire::PlacementEnd& end) {
  const bool known =
      end.outcome() >= 0 &&
      end.outcome() <= static_cast<int8_t>(routing::Outcome::kTimeout);
  if (!known) return {end.ticket(), std::nullopt};
  return {end.ticket(), static_cast<routing::Outcome>(end.outcome())};
}

PieceOrder Read(const wire::Piece& p, Clock::time_point now) {
  PieceOrder order;
  order.ticket = p.ticket();
  order.service = Text(p.service());
  order.piece = {.request_id = Text(p.request_id()),
                 .stage = p.stage(),
                 .index = p.index(),
                 .key = Text(p.key()),
                 .inputs = Texts(p.inputs()),
                 .result_bytes = p.result_bytes(),
                 .rank = p.rank(),
                 .due = now + milliseconds(p.due_in_ms()),
                 .deadline = now + milliseconds(p.deadline_in_ms()),
                 .zone = Text(p.zone()),
                 .next_services = Texts(p.next_services()),
                 .fingerprint = Text(p.work()),
                 .retried = p.repeated()};
  return order;
}

PieceDone Read(const wire::PieceDone& d) {
  const bool known = d.failure() >= 0 &&
                     d.failure() <= static_cast<int8_t>(PieceFailure::kResting);
  return {d.ticket(),
          {.failure = known ? static_cast<PieceFailure>(d.failure())
                            : PieceFailure::kFailed,
           .handle = Text(d.handle()),
           .zone = Text(d.zone())}};
}

Offset<wire::StoreChanges> Write(FlatBufferBuilder& b,
                                 const StoreChanges& changes) {
  std::vector<Offset<wire::StoreObject>> objects;
  std::ranges::transform(
      changes.objects, std::back_inserter(objects), [&b](const StoreObject& o) {
        return wire::CreateStoreObject(b, b.CreateString(o.name),
                                       b.CreateString(o.spec), o.packed,
                                       o.revision, o.deleted);
      });
  return wire::CreateStoreChanges(b, static_cast<int8_t>(changes.kind),
                                  changes.follows, changes.revision,
                                  b.CreateVector(objects), changes.held_before);
}

/** @return the changes, or nullopt if their kind is unknown. */
std::optional<StoreChanges> Read(const wire::StoreChanges& c) {
  const bool known =
      c.kind() >= 0 && c.kind() <= static_cast<int8_t>(StoreKind::kEvacuations);
  if (!known) return std::nullopt;
  StoreChanges changes{.kind = static_cast<StoreKind>(c.kind()),
                       .follows = c.follows(),
                       .revision = c.revision(),
                       .objects = {},
                       .held_before = c.held_before()};
  if (c.objects() == nullptr) return changes;
  std::ranges::transform(*c.objects(), std::back_inserter(changes.objects),
                         [](const auto* o) {
                           return StoreObject{.name = Text(o->name()),
                                              .spec = Text(o->spec()),
                                              .packed = o->packed(),
                                              .revision = o->revision(),
                                              .deleted = o->deleted()};
                         });
  return changes;
}

/** Wire value of RelayStatus::outage_ended if no outage is known. */
constexpr int32_t kNoKnownOutage = -1;
/** Wire value of RelayStatus::config_age if the sender was never known to have
 * all configurations. */
constexpr int32_t kNoConfigAge = -1;

Offset<wire::FollowRequest> Write(FlatBufferBuilder& b,
                                  const FollowRequest& follow) {
  return wire::CreateFollowRequest(b, follow.wanted, follow.resync,
                                   follow.known.config, follow.known.upstreams,
                                   follow.known.evacuations);
}

Offset<wire::RelayStatus> Write(FlatBufferBuilder& b,
                                const RelayStatus& status) {
  const int32_t ended = status.outage_ended
                            ? NonNegativeMs(*status.outage_ended)
                            : kNoKnownOutage;
  return wire::CreateRelayStatus(
      b, NonNegativeMs(status.store_age), ended, status.known.config,
      status.known.upstreams, status.known.evacuations,
      status.config_age ? NonNegativeMs(*status.config_age) : kNoConfigAge);
}

RelayStatus Read(const wire::RelayStatus& status) {
  // A negative age would rank as fresher than any real copy of the store.
  const auto read_ms = [](int32_t ms) {
    return milliseconds(std::max<int32_t>(0, ms));
  };
  RelayStatus out{
      .store_age = read_ms(status.store_age_ms()),
      .outage_ended = std::nullopt,
      .known = {status.config_revision(), status.upstreams_revision(),
                status.evacuations_revision()},
      .config_age = std::nullopt};
  if (status.config_age_ms() != kNoConfigAge) {
    out.config_age = read_ms(status.config_age_ms());
  }
  if (status.outage_ended_ms() != kNoKnownOutage) {
    out.outage_ended = read_ms(status.outage_ended_ms());
  }
  return out;
}

/** @return the time that lies `age_ms` before `now`; negative ages count as
 * 0. */
Clock::time_point TimeFromAge(int32_t age_ms, Clock::time_point now) {
  return now - milliseconds(std::max<int32_t>(0, age_ms));
}

Offset<wire::Crash> Write(FlatBufferBuilder& b, const quarantine::Crash& crash,
                          Clock::time_point now) {
  return wire::CreateCrash(
      b, b.CreateSharedString(crash.fingerprint),
      b.CreateSharedString(crash.service), b.CreateSharedString(crash.upstream),
      RelativeMs(now, crash.at), crash.progressed, WriteTexts(b, crash.parts));
}

Offset<wire::GoodRun> Write(FlatBufferBuilder& b,
                            const quarantine::GoodRun& run,
                            Clock::time_point now) {
  return wire::CreateGoodRun(b, b.CreateSharedString(run.fingerprint),
                             b.CreateSharedString(run.service),
                             RelativeMs(now, run.at), WriteTexts(b, run.parts));
}

Offset<wire::Trial> Write(FlatBufferBuilder& b, const quarantine::Trial& trial,
                          Clock::time_point now) {
  return wire::CreateTrial(b, b.CreateSharedString(trial.trait),
                           RelativeMs(now, trial.at));
}

/** Reads the crashes, the good runs and the trials of a frame. */
void ReadCrashParts(const wire::Frame& f, Clock::time_point now, Frame& frame) {
  if (f.crashes() != nullptr) {
    std::ranges::transform(
        *f.crashes(), std::back_inserter(frame.crashes), [now](const auto* c) {
          return quarantine::Crash{.fingerprint = Text(c->work()),
                                   .service = Text(c->service()),
                                   .upstream = Text(c->upstream()),
                                   .at = TimeFromAge(c->age_ms(), now),
                                   .progressed = c->progressed(),
                                   .parts = Texts(c->parts())};
        });
  }
  if (f.good_runs() != nullptr) {
    std::ranges::transform(*f.good_runs(), std::back_inserter(frame.good_runs),
                           [now](const auto* r) {
                             return quarantine::GoodRun{
                                 .fingerprint = Text(r->work()),
                                 .service = Text(r->service()),
                                 .at = TimeFromAge(r->age_ms(), now),
                                 .parts = Texts(r->parts())};
                           });
  }
  if (f.trials() != nullptr) {
    std::ranges::transform(
        *f.trials(), std::back_inserter(frame.trials), [now](const auto* t) {
          return quarantine::Trial{.trait = Text(t->trait()),
                                   .at = TimeFromAge(t->age_ms(), now)};
        });
  }
}

/** Wire value of a LimitNotice for an answer that states no limit. */
constexpr double kNoLimit = -1;

Offset<wire::LimitNotice> Write(FlatBufferBuilder& b, const LimitNotice& notice,
                                Clock::time_point now) {
  const limits::LimitStatement& statement = notice.statement;
  return wire::CreateLimitNotice(b, b.CreateString(notice.upstream),
                                 statement.per_s.value_or(kNoLimit),
                                 RelativeMs(now, statement.sent_at),
                                 RelativeMs(now, statement.received_at));
}

Offset<wire::PermitOrder> Write(FlatBufferBuilder& b,
                                const PermitOrder& order) {
  return wire::CreatePermitOrder(
      b, order.ticket, b.CreateSharedString(order.service),
      b.CreateString(order.upstream), WriteTexts(b, order.excluded),
      NonNegativeMs(order.max_wait), b.CreateSharedString(order.version));
}

Offset<wire::Permit> Write(FlatBufferBuilder& b, const Permit& permit) {
  return wire::CreatePermit(b, permit.ticket, b.CreateString(permit.upstream),
                            NonNegativeMs(permit.wait), permit.limit_unknown);
}

/** Wire value of a BrittleNotice for an upstream that is not brittle. */
constexpr int32_t kNotBrittle = -1;

Offset<wire::BrittleNotice> Write(FlatBufferBuilder& b,
                                  const BrittleNotice& notice,
                                  Clock::time_point now) {
  const limits::BrittleStatement& statement = notice.statement;
  return wire::CreateBrittleNotice(b, b.CreateString(notice.upstream),
                                   statement.tolerated.value_or(kNotBrittle),
                                   RelativeMs(now, statement.sent_at),
                                   RelativeMs(now, statement.received_at));
}

Offset<wire::AvailabilityNotice> Write(FlatBufferBuilder& b,
                                       const AvailabilityNotice& notice) {
  return wire::CreateAvailabilityNotice(b, b.CreateString(notice.upstream),
                                        notice.leaving,
                                        NonNegativeMs(notice.rest));
}

template <class Table>
using TableList = flatbuffers::Vector<Offset<Table>>;

/** The statements of upstreams, permit orders and permits of a frame; absent if
 * there are none, as in most frames. */
struct LimitParts {
  Offset<TableList<wire::LimitNotice>> notices;
  Offset<TableList<wire::PermitOrder>> orders;
  Offset<TableList<wire::Permit>> permits;
  Offset<TableList<wire::BrittleNotice>> brittle;
  Offset<TableList<wire::AvailabilityNotice>> availability;
};

LimitParts WriteLimitParts(FlatBufferBuilder& b, const Frame& frame,
                           Clock::time_point now) {
  LimitParts parts;
  std::vector<Offset<wire::LimitNotice>> notices;
  for (const auto& n : frame.limit_notices) notices.push_back(Write(b, n, now));
  if (!notices.empty()) parts.notices = b.CreateVector(notices);
  std::vector<Offset<wire::PermitOrder>> orders;
  for (const auto& o : frame.permit_orders) orders.push_back(Write(b, o));
  if (!orders.empty()) parts.orders = b.CreateVector(orders);
  std::vector<Offset<wire::Permit>> permits;
  for (const auto& p : frame.permits) permits.push_back(Write(b, p));
  if (!permits.empty()) parts.permits = b.CreateVector(permits);
  std::vector<Offset<wire::BrittleNotice>> brittle;
  for (const auto& n : frame.brittle_notices) {
    brittle.push_back(Write(b, n, now));
  }
  if (!brittle.empty()) parts.brittle = b.CreateVector(brittle);
  std::vector<Offset<wire::AvailabilityNotice>> availability;
  for (const auto& n : frame.availability_notices) {
    availability.push_back(Write(b, n));
  }
  if (!availability.empty()) parts.availability = b.CreateVector(availability);
  return parts;
}

/** Reads the statements of upstreams, permit orders and permits of a frame. */
void ReadLimitParts(const wire::Frame& f, Clock::time_point now, Frame& frame) {
  if (f.availability_notices() != nullptr) {
    for (const auto* n : *f.availability_notices()) {
      frame.availability_notices.push_back(
          {.upstream = Text(n->upstream()),
           .leaving = n->leaving(),
           .rest = milliseconds(std::max(0, n->rest_ms()))});
    }
  }
  if (f.brittle_notices() != nullptr) {
    for (const auto* n : *f.brittle_notices()) {
      limits::BrittleStatement statement{
          .tolerated = std::nullopt,
          .sent_at = TimeFromAge(n->sent_age_ms(), now),
          .received_at = TimeFromAge(n->received_age_ms(), now)};
      if (n->tolerated() >= 0) statement.tolerated = n->tolerated();
      frame.brittle_notices.push_back({Text(n->upstream()), statement});
    }
  }
  if (f.limit_notices() != nullptr) {
    for (const auto* n : *f.limit_notices()) {
      limits::LimitStatement statement{
          .per_s = std::nullopt,
          .sent_at = TimeFromAge(n->sent_age_ms(), now),
          .received_at = TimeFromAge(n->received_age_ms(), now)};
      // The comparison is false for a value that is not a number.
      if (n->per_s() >= 0) statement.per_s = n->per_s();
      frame.limit_notices.push_back({Text(n->upstream()), statement});
    }
  }
  if (f.permit_orders() != nullptr) {
    for (const auto* o : *f.permit_orders()) {
      frame.permit_orders.push_back(
          {.ticket = o->ticket(),
           .service = Text(o->service()),
           .upstream = Text(o->upstream()),
           .excluded = Texts(o->excluded()),
           .max_wait = milliseconds(std::max(0, o->max_wait_ms())),
           .version = Text(o->version())});
    }
  }
  if (f.permits() == nullptr) return;
  for (const auto* p : *f.permits()) {
    frame.permits.push_back({.ticket = p->ticket(),
                             .upstream = Text(p->upstream()),
                             .wait = milliseconds(std::max(0, p->wait_ms())),
                             .limit_unknown = p->limit_unknown()});
  }
}

/** Reads the store changes of a frame and the state of their relay. */
void ReadStoreParts(const wire::Frame& f, Frame& frame) {
  frame.newest_revisions = {f.config_change(), f.upstreams_change(),
                            f.evacuations_change()};
  if (f.follow() != nullptr) {
    frame.follow = FollowRequest{.wanted = f.follow()->wanted(),
                                 .resync = f.follow()->resync(),
                                 .known = {f.follow()->config_revision(),
                                           f.follow()->upstreams_revision(),
                                           f.follow()->evacuations_revision()}};
  }
  if (f.relay() != nullptr) frame.relay = Read(*f.relay());
  if (f.store_changes() == nullptr) return;
  for (const auto* c : *f.store_changes()) {
    if (auto changes = Read(*c)) {
      frame.store_changes.push_back(std::move(*changes));
    }
  }
}

using ServiceVersions = TableList<wire::ServiceVersion>;

Offset<wire::ServiceVersion> Write(FlatBufferBuilder& b,
                                   const streams::StreamOrigin& origin) {
  return wire::CreateServiceVersion(b, b.CreateSharedString(origin.service),
                                    b.CreateSharedString(origin.version));
}

Offset<ServiceVersions> Write(
    FlatBufferBuilder& b, const std::vector<streams::StreamOrigin>& versions) {
  std::vector<Offset<wire::ServiceVersion>> list;
  std::ranges::transform(versions, std::back_inserter(list),
                         [&b](const auto& v) { return Write(b, v); });
  return b.CreateVector(list);
}

streams::StreamOrigin Read(const wire::ServiceVersion& version) {
  return {Text(version.service()), Text(version.version())};
}

std::vector<streams::StreamOrigin> Read(const ServiceVersions* versions) {
  std::vector<streams::StreamOrigin> out;
  if (versions == nullptr) return out;
  std::ranges::transform(*versions, std::back_inserter(out),
                         [](const auto* v) { return Read(*v); });
  return out;
}

/** The parts of a frame on the origins of streams. */
struct StreamParts {
  Offset<ServiceVersions> versions;
  Offset<TableList<wire::StreamRecord>> records;
  Offset<TableList<wire::OriginQuery>> queries;
  Offset<TableList<wire::OriginAnswer>> answers;
};

StreamParts WriteStreamParts(FlatBufferBuilder& b, const Frame& frame) {
  std::vector<Offset<wire::StreamRecord>> records;
  for (const StreamRecord& r : frame.stream_records) {
    records.push_back(wire::CreateStreamRecord(
        b, b.CreateSharedString(r.id.organisation),
        b.CreateString(r.id.attempt_id), Write(b, r.origin)));
  }
  std::vector<Offset<wire::OriginQuery>> queries;
  for (const OriginQuery& q : frame.origin_queries) {
    queries.push_back(wire::CreateOriginQuery(
        b, q.ticket, b.CreateSharedString(q.id.organisation),
        b.CreateString(q.id.attempt_id), WriteTexts(b, q.services)));
  }
  std::vector<Offset<wire::OriginAnswer>> answers;
  for (const OriginAnswer& a : frame.origin_answers) {
    const Offset<wire::ServiceVersion> origin =
        a.origin ? Write(b, *a.origin) : 0;
    answers.push_back(
        wire::CreateOriginAnswer(b, a.ticket, origin, Write(b, a.versions)));
  }
  // Most frames have none of these; absent fields take no space.
  StreamParts parts;
  if (!frame.versions.empty()) parts.versions = Write(b, frame.versions);
  if (!records.empty()) parts.records = b.CreateVector(records);
  if (!queries.empty()) parts.queries = b.CreateVector(queries);
  if (!answers.empty()) parts.answers = b.CreateVector(answers);
  return parts;
}

void ReadStreamParts(const wire::Frame& f, Frame& frame) {
  frame.versions = Read(f.versions());
  if (f.stream_records() != nullptr) {
    for (const auto* r : *f.stream_records()) {
      if (r->origin() == nullptr) continue;
      frame.stream_records.push_back(
          {.id = {Text(r->organisation()), Text(r->attempt_id())},
           .origin = Read(*r->origin())});
    }
  }
  if (f.origin_queries() != nullptr) {
    for (const auto* q : *f.origin_queries()) {
      frame.origin_queries.push_back(
          {.ticket = q->ticket(),
           .id = {Text(q->organisation()), Text(q->attempt_id())},
           .services = Texts(q->services())});
    }
  }
  if (f.origin_answers() == nullptr) return;
  for (const auto* a : *f.origin_answers()) {
    OriginAnswer answer{.ticket = a->ticket(),
                        .origin = std::nullopt,
                        .versions = Read(a->versions())};
    if (a->origin() != nullptr) answer.origin = Read(*a->origin());
    frame.origin_answers.push_back(std::move(answer));
  }
}

}  // namespace

std::vector<uint8_t> Encode(const Frame& frame, Clock::time_point now) {
  FlatBufferBuilder b(1024);
  std::vector<Offset<wire::Piece>> pieces;
  for (const PieceOrder& p : frame.pieces) pieces.push_back(Write(b, p, now));
  std::vector<Offset<wire::PieceDone>> done;
  for (const PieceDone& d : frame.done) done.push_back(Write(b, d));
  std::vector<Offset<wire::Release>> releases;
  for (const ReleaseOrder& r : frame.releases) releases.push_back(Write(b, r));
  std::vector<Offset<wire::Backlog>> backlogs;
  for (const Backlog& backlog : frame.backlogs) {
    backlogs.push_back(wire::CreateBacklog(
        b, b.CreateSharedString(backlog.service), backlog.calls));
  }
  std::vector<Offset<wire::PlacementOrder>> placements;
  for (const PlacementOrder& o : frame.placements) {
    placements.push_back(Write(b, o));
  }
  std::vector<Offset<wire::Placed>> placed;
  for (const Placed& p : frame.placed) {
    placed.push_back(
        wire::CreatePlaced(b, p.ticket, b.CreateString(p.upstream)));
  }
  const auto sender = b.CreateString(frame.sender);
  const auto piece_list = b.CreateVector(pieces);
  const auto taken = b.CreateVector(frame.taken);
  const auto done_list = b.CreateVector(done);
  const auto cancelled = b.CreateVector(frame.cancelled);
  const auto release_list = b.CreateVector(releases);
  const auto backlog_list = b.CreateVector(backlogs);
  const auto placement_list = b.CreateVector(placements);
  const auto placed_list = b.CreateVector(placed);
  const auto prompts_read = b.CreateVector(frame.prompts_read);
  std::vector<Offset<wire::PlacementEnd>> ends;
  for (const PlacementEnd& end : frame.ended) ends.push_back(Write(b, end));
  const auto ended = b.CreateVector(ends);
  std::vector<Offset<wire::StoreChanges>> changes;
  for (const StoreChanges& c : frame.store_changes) {
    changes.push_back(Write(b, c));
  }
  const auto change_list = b.CreateVector(changes);
  std::vector<Offset<wire::Crash>> crashes;
  for (const auto& crash : frame.crashes) {
    crashes.push_back(Write(b, crash, now));
  }
  const auto crash_list = b.CreateVector(crashes);
  std::vector<Offset<wire::GoodRun>> runs;
  for (const auto& run : frame.good_runs) runs.push_back(Write(b, run, now));
  const auto run_list = b.CreateVector(runs);
  std::vector<Offset<wire::Trial>> trials;
  for (const auto& trial : frame.trials) trials.push_back(Write(b, trial, now));
  const auto trial_list = b.CreateVector(trials);
  const LimitParts limits = WriteLimitParts(b, frame, now);
  const StreamParts streams = WriteStreamParts(b, frame);
  const LoanParts loans = WriteLoanParts(b, frame);
  const ShareParts shares = WriteShareParts(b, frame);
  const Offset<wire::FollowRequest> follow =
      frame.follow ? Write(b, *frame.follow) : 0;
  const Offset<wire::RelayStatus> relay =
      frame.relay ? Write(b, *frame.relay) : 0;
  wire::FinishFrameBuffer(
      b, wire::CreateFrame(
             b, sender, frame.sequence, frame.acknowledged, frame.leaving,
             piece_list, taken, done_list, cancelled, release_list,
             backlog_list, placement_list, placed_list, prompts_read, ended,
             frame.newest_revisions.config, frame.newest_revisions.upstreams,
             follow, relay, change_list, crash_list, run_list,
             frame.newest_revisions.evacuations, limits.notices, limits.orders,
             limits.permits, static_cast<wire::ReachStatement>(frame.reach),
             limits.brittle, streams.versions, streams.records, streams.queries,
             streams.answers, trial_list, limits.availability, loans.orders,
             loans.grants, static_cast<wire::LoadStatement>(frame.load),
             static_cast<wire::LoanStatement>(frame.loans), frame.loan_survey,
             frame.loan_survey_answered, shares.reports, shares.plans));
  return {b.GetBufferPointer(), b.GetBufferPointer() + b.GetSize()};
}

std::optional<Frame> Decode(std::span<const uint8_t> bytes,
                            Clock::time_point now) {
  // Guard: any process on the network can connect to the peer port, so the
  // bytes are untrusted. The verifier checks every offset before it is
  // followed.
  flatbuffers::Verifier verifier(bytes.data(), bytes.size());
  if (!wire::VerifyFrameBuffer(verifier)) return std::nullopt;
  const wire::Frame& f = *wire::GetFrame(bytes.data());
  Frame frame;
  frame.sender = Text(f.sender());
  frame.sequence = f.sequence();
  frame.acknowledged = f.acknowledged();
  frame.leaving = f.leaving();
  // A value of a later version states nothing to this one.
  if (f.reach() >= wire::ReachStatement::MIN &&
      f.reach() <= wire::ReachStatement::MAX) {
    frame.reach = static_cast<ReachStatement>(f.reach());
  }
  if (f.load() >= wire::LoadStatement::MIN &&
      f.load() <= wire::LoadStatement::MAX) {
    frame.load = static_cast<LoadStatement>(f.load());
  }
  if (f.loans() >= wire::LoanStatement::MIN &&
      f.loans() <= wire::LoanStatement::MAX) {
    frame.loans = static_cast<LoanStatement>(f.loans());
  }
  frame.loan_survey = f.loan_survey();
  frame.loan_survey_answered = f.loan_survey_answered();
  ReadStoreParts(f, frame);
  ReadCrashParts(f, now, frame);
  ReadLimitParts(f, now, frame);
  ReadStreamParts(f, frame);
  ReadLoanParts(f, frame);
  ReadShareParts(f, frame);
  if (f.pieces() != nullptr) {
    for (const auto* p : *f.pieces()) frame.pieces.push_back(Read(*p, now));
  }
  if (f.taken() != nullptr) {
    std::ranges::copy(*f.taken(), std::back_inserter(frame.taken));
  }
  if (f.done() != nullptr) {
    for (const auto* d : *f.done()) frame.done.push_back(Read(*d));
  }
  if (f.cancelled() != nullptr) {
    std::ranges::copy(*f.cancelled(), std::back_inserter(frame.cancelled));
  }
  if (f.releases() != nullptr) {
    for (const auto* r : *f.releases()) {
      frame.releases.push_back({Text(r->service()), Texts(r->handles())});
    }
  }
  if (f.backlogs() != nullptr) {
    for (const auto* b : *f.backlogs()) {
      frame.backlogs.push_back({Text(b->service()), b->calls()});
    }
  }
  if (f.placements() != nullptr) {
    for (const auto* o : *f.placements()) frame.placements.push_back(Read(*o));
  }
  if (f.placed() != nullptr) {
    for (const auto* p : *f.placed()) {
      frame.placed.push_back({p->ticket(), Text(p->upstream())});
    }
  }
  if (f.prompts_read() != nullptr) {
    std::ranges::copy(*f.prompts_read(),
                      std::back_inserter(frame.prompts_read));
  }
  if (f.ended() != nullptr) {
    for (const auto* end : *f.ended()) frame.ended.push_back(Read(*end));
  }
  return frame;
}

}  // namespace turmeric::peer
