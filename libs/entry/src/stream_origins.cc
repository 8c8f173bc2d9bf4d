#include "turmeric/entry/stream_origins.h"

#include <algorithm>
#include <utility>

#include "turmeric/entry/entry_metrics.h"
#include "turmeric/entry/version_registry.h"
#include "turmeric/utils/decision_log.h"

namespace turmeric::entry {

using peer::Frame;
using std::chrono::milliseconds;
using streams::OriginRecords;
using streams::StreamId;
using streams::StreamOrigin;

namespace {

/** Peers that hold the record of a stream: the record is lost only if all of
 * them end together with the instance at which the stream began. */
constexpr size_t kHolders = 4;
/** Peers asked for a record. More than hold it, because the instances may
 * differ on which peers are reachable. */
constexpr size_t kAsked = 6;
/** Most records of each kind, about 200 bytes each. */
constexpr size_t kMaxRecords = 20000;
/** Most records kept to be sent to a new writer of the archive. */
constexpr size_t kMaxArchived = 5000;
/** Most records that wait for more holders. */
constexpr size_t kMaxShortOfHolders = 1000;
/** Time for which a record is kept; longer than any stream. */
constexpr std::chrono::minutes kRecordLifetime{5};
/** Time limit for the answers of peers: with a small CPU quota, an event loop
 * may pause for a tenth of a second, and a lost packet costs another fifth. */
constexpr milliseconds kAnswerTimeout{300};
constexpr milliseconds kOverdueCheckInterval{25};
/** Age up to which records are sent to a new writer of the archive: the time in
 * which the loss of an instance is noticed, and that of a write. */
constexpr milliseconds kResentAge{5000};

std::string KeyOf(const StreamId& id) {
  return id.organisation + "/" + id.attempt_id;
}

}  // namespace

StreamOrigins::StreamOrigins(VersionRegistry& registry, OriginArchive& archive,
                             EntryMetrics& metrics, Links links)
    : registry_(registry),
      archive_(archive),
      metrics_(metrics),
      links_(std::move(links)),
      begun_(kMaxRecords, kRecordLifetime),
      held_(kMaxRecords, kRecordLifetime),
      early_(kMaxRecords, OriginArchive::kLifetime),
      archived_(kMaxArchived, OriginArchive::kLifetime) {
  overdue_timer_.setInterval(kOverdueCheckInterval);
  connect(&overdue_timer_, &QTimer::timeout, this, [this] { CheckOverdue(); });
}

void StreamOrigins::OnBegun(const StreamId& id, const StreamOrigin& origin,
                            std::span<const routing::RouteTarget> targets) {
  const auto now = Clock::now();
  begun_.Put(id, origin, now);
  if (AreRecorded(targets.size(), std::span(&origin.service, 1))) {
    SendToHolders({id, origin, now});
  }
}

bool StreamOrigins::AreRecorded(size_t targets,
                                std::span<const std::string> services) const {
  return targets > 1 || VersionsOf(services).size() > 1;
}

void StreamOrigins::SendToHolders(const OriginRecords::Record& record) {
  const auto holders = links_.holders(KeyOf(record.id), kHolders);
  for (const std::string& name : holders) {
    links_.send(name, [&record](Frame& frame) {
      frame.stream_records.push_back({record.id, record.origin});
    });
  }
  // An instance that has just started may not know its peers yet.
  const int fleet_size = links_.fleet_size();
  if (fleet_size > 0) SendToWriter(record, holders);
  const bool all_hold =
      fleet_size > 0 && static_cast<int>(holders.size()) >= fleet_size - 1;
  if (holders.size() >= kHolders || all_hold) return;
  short_of_holders_.push_back(record);
  if (short_of_holders_.size() > kMaxShortOfHolders) {
    short_of_holders_.pop_front();
  }
}

void StreamOrigins::SendToWriter(const OriginRecords::Record& record,
                                 std::span<const std::string> holders) {
  const auto now = Clock::now();
  if (now - record.at >= OriginArchive::kLifetime) return;
  const size_t slot = OriginArchive::SlotOf(record.id);
  const std::string writer = WriterOf(slot);
  const auto previous = std::exchange(writers_.at(slot), writer);
  if (previous && *previous != writer) SendAgain(slot, kResentAge);
  archived_.Put(record.id, record.origin, now);
  if (writer.empty()) return archive_.Add(record.id, record.origin);
  if (std::ranges::count(holders, writer) > 0) return;
  links_.send(writer, [&record](Frame& frame) {
    frame.stream_records.push_back({record.id, record.origin});
  });
}

std::string StreamOrigins::WriterOf(size_t slot) const {
  return links_.owner_of(OriginArchive::WriterKey(slot)).value_or("");
}

void StreamOrigins::SendAgain(size_t slot, milliseconds age) {
  for (const auto& record : archived_.Since(Clock::now() - age)) {
    if (OriginArchive::SlotOf(record.id) == slot) SendToWriter(record, {});
  }
}

void StreamOrigins::OnPeersChanged() {
  for (size_t slot = 0; slot < OriginArchive::kSlots; ++slot) {
    auto& writer = writers_.at(slot);
    if (!writer) continue;
    if (std::exchange(*writer, WriterOf(slot)) != *writer) {
      SendAgain(slot, kResentAge);
    }
  }
}

void StreamOrigins::OnNewEra() {
  for (size_t slot = 0; slot < OriginArchive::kSlots; ++slot) {
    if (writers_.at(slot)) SendAgain(slot, OriginArchive::kLifetime);
  }
}

void StreamOrigins::OnFleetList() {
  const auto now = Clock::now();
  for (const auto& record : std::exchange(short_of_holders_, {})) {
    if (begun_.Find(record.id, now)) SendToHolders(record);
  }
  OnPeersChanged();
  ArchiveEarly();
}

void StreamOrigins::OnVersionsChanged(const std::string& service) {
  if (registry_.VersionsOf(service).size() < 2) return;
  archive_.ReadAhead();
  std::ranges::for_each(begun_.OfService(service, Clock::now()),
                        [this](const auto& record) { SendToHolders(record); });
}

void StreamOrigins::Find(const StreamId& id,
                         std::span<const routing::RouteTarget> targets,
                         Callback done) {
  const uint64_t ticket = next_ticket_++;
  Search& search = searches_[ticket];
  search.id = id;
  search.done = std::move(done);
  for (const routing::RouteTarget& target : targets) {
    if (std::ranges::count(search.services, target.service) == 0) {
      search.services.push_back(target.service);
    }
  }
  const auto now = Clock::now();
  for (const OriginRecords* records : {&begun_, &held_}) {
    if (const auto origin = records->Find(id, now)) {
      return Finish(ticket, "own_record", origin);
    }
  }
  if (!AreRecorded(targets.size(), search.services)) {
    return ReadRegistry(ticket);
  }
  if (const auto origin = archive_.Find(id)) {
    return Finish(ticket, "archive", origin);
  }
  // After a start of the whole fleet no peer has a record, or can be asked.
  if (!archive_.was_read()) ReadArchive(ticket);
  if (searches_.contains(ticket)) AskPeers(ticket);
}

std::vector<StreamOrigin> StreamOrigins::VersionsOf(
    std::span<const std::string> services) const {
  std::vector<StreamOrigin> versions;
  for (const std::string& service : services) {
    for (std::string& version : registry_.VersionsOf(service)) {
      versions.push_back({service, std::move(version)});
    }
  }
  return versions;
}

std::optional<StreamOrigin> StreamOrigins::OnlyOrigin(
    std::span<const std::string> services) const {
  // Services of one route may run different software under equal versions.
  if (services.size() != 1) return std::nullopt;
  const auto versions = VersionsOf(services);
  return versions.size() == 1 ? std::optional(versions.front()) : std::nullopt;
}

void StreamOrigins::ReadRegistry(uint64_t ticket) {
  searches_.at(ticket).read_tried = true;
  registry_.Read([this, ticket](bool read) {
    const auto it = searches_.find(ticket);
    // A late answer of a peer may have ended the search.
    if (it == searches_.end()) return;
    Search& search = it->second;
    search.registry_read = read;
    const auto only = OnlyOrigin(search.services);
    if (read && only) return Finish(ticket, "only_version", only);
    search.asked ? Conclude(ticket) : AskPeers(ticket);
  });
}

void StreamOrigins::ReadArchive(uint64_t ticket) {
  Search& search = searches_.at(ticket);
  search.archive_tried = true;
  search.archive_open = true;
  archive_.Read([this, ticket](bool read) { OnArchiveRead(ticket, read); });
}

void StreamOrigins::OnArchiveRead(uint64_t ticket, bool read) {
  const auto it = searches_.find(ticket);
  // A late answer of a peer may have ended the search.
  if (it == searches_.end()) return;
  Search& search = it->second;
  search.archive_open = false;
  search.archive_read = read;
  if (const auto origin = archive_.Find(search.id)) {
    archive_.OnFound();
    return Finish(ticket, "archive", origin);
  }
  if (search.concluding) Conclude(ticket);
}

void StreamOrigins::AskPeers(uint64_t ticket) {
  Search& search = searches_.at(ticket);
  search.asked = true;
  search.asked_at = Clock::now();
  const auto names = links_.may_hold(KeyOf(search.id), kAsked);
  search.unanswered.insert(names.begin(), names.end());
  const peer::OriginQuery query{
      .ticket = ticket, .id = search.id, .services = search.services};
  for (const std::string& name : names) {
    links_.send(name, [&query](Frame& frame) {
      frame.origin_queries.push_back(query);
    });
  }
  if (names.empty()) return OnAsked(ticket);
  if (!overdue_timer_.isActive()) overdue_timer_.start();
}

void StreamOrigins::OnQueries(const Frame& frame, Frame* reply) {
  const auto now = Clock::now();
  for (const auto& record : frame.stream_records) {
    held_.Put(record.id, record.origin, now);
  }
  Archive(frame.stream_records);
  if (reply == nullptr) return;
  for (const peer::OriginQuery& query : frame.origin_queries) {
    auto origin = held_.Find(query.id, now);
    if (!origin) origin = begun_.Find(query.id, now);
    reply->origin_answers.push_back({.ticket = query.ticket,
                                     .origin = std::move(origin),
                                     .versions = VersionsOf(query.services)});
  }
}

void StreamOrigins::Archive(std::span<const peer::StreamRecord> records) {
  if (records.empty()) return;
  if (links_.fleet_size() == 0) {
    const auto now = Clock::now();
    for (const auto& record : records) {
      early_.Put(record.id, record.origin, now);
    }
    return;
  }
  for (size_t slot = 0; slot < OriginArchive::kSlots; ++slot) {
    if (!WriterOf(slot).empty()) continue;
    for (const auto& record : records) {
      if (OriginArchive::SlotOf(record.id) != slot) continue;
      archive_.Add(record.id, record.origin);
    }
  }
}

void StreamOrigins::ArchiveEarly() {
  if (links_.fleet_size() == 0) return;
  std::vector<peer::StreamRecord> records;
  for (auto& record : early_.Since(Clock::now() - OriginArchive::kLifetime)) {
    records.push_back({std::move(record.id), std::move(record.origin)});
  }
  early_.Clear();
  Archive(records);
}

void StreamOrigins::OnAnswers(const std::string& name, const Frame& frame) {
  for (const peer::OriginAnswer& answer : frame.origin_answers) {
    const auto it = searches_.find(answer.ticket);
    if (it == searches_.end() || it->second.unanswered.erase(name) == 0) {
      continue;
    }
    if (answer.origin) {
      Finish(answer.ticket, "peer_record", answer.origin);
      continue;
    }
    Search& search = it->second;
    ++search.answers;
    search.peers_agree =
        search.peers_agree && answer.versions == VersionsOf(search.services);
    const bool awaited = search.asked_at != Clock::time_point();
    if (awaited && search.unanswered.empty()) OnAsked(answer.ticket);
  }
}

void StreamOrigins::OnAsked(uint64_t ticket) {
  searches_.at(ticket).asked_at = {};
  Conclude(ticket);
}

bool StreamOrigins::MayRelyOnPeers(const Search& search) const {
  if (search.registry_read || !search.unanswered.empty()) return false;
  // With this instance, the peers that agree must be a majority of the fleet: a
  // version that is registered elsewhere may be unknown to all of a minority.
  const int fleet_size = links_.fleet_size();
  return fleet_size > 0 && search.answers >= fleet_size / 2 &&
         search.peers_agree;
}

void StreamOrigins::Conclude(uint64_t ticket) {
  Search& search = searches_.at(ticket);
  search.concluding = true;
  const bool may_be_archived =
      search.services.size() > 1 || VersionsOf(search.services).size() > 1;
  if (may_be_archived && !search.archive_tried) return ReadArchive(ticket);
  if (search.archive_open) return;
  if (!search.read_tried && OnlyOrigin(search.services)) {
    return ReadRegistry(ticket);
  }
  const auto only =
      MayRelyOnPeers(search) ? OnlyOrigin(search.services) : std::nullopt;
  Finish(ticket, only ? "peers_agree" : "unknown", only);
}

void StreamOrigins::CheckOverdue() {
  const auto now = Clock::now();
  std::vector<uint64_t> overdue;
  bool any_open = false;
  for (const auto& [ticket, search] : searches_) {
    if (search.asked_at == Clock::time_point()) continue;
    any_open = true;
    if (now - search.asked_at >= kAnswerTimeout) overdue.push_back(ticket);
  }
  if (!any_open) overdue_timer_.stop();
  for (const uint64_t ticket : overdue) {
    if (searches_.contains(ticket)) OnAsked(ticket);
  }
}

void StreamOrigins::Finish(uint64_t ticket, std::string_view how,
                           const std::optional<StreamOrigin>& origin) {
  auto node = searches_.extract(ticket);
  const Search& search = node.mapped();
  metrics_.OnStreamResumed(how);
  utils::DecisionLog("stream_origin")
      .Add("stream", search.id.attempt_id)
      .Add("how", how)
      .Add("version", origin ? origin->version : "-")
      .Add("unanswered", search.unanswered.size())
      .Add("registry_read", search.registry_read)
      .Add("archive_read", search.archive_read);
  search.done(origin);
}

}  // namespace turmeric::entry
