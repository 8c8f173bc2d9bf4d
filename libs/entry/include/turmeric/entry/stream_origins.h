#pragma once

#include <QObject>
#include <QTimer>
#include <array>
#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <span>
#include <string>
#include <vector>

#include "turmeric/entry/origin_archive.h"
#include "turmeric/peer/frame.h"
#include "turmeric/routing/route_table.h"
#include "turmeric/routing/upstream_clock.h"
#include "turmeric/streams/origin_records.h"

namespace turmeric::entry {

class EntryMetrics;
class VersionRegistry;

/**
 * Finds the software version that began a stream which a caller resumes at this
 * instance. While a service has one registered version, the registry tells it.
 * While it has several, each new stream is recorded at a few peers that follow
 * from its id, before its first event is sent, and soon after in an archive in
 * the store. A stream whose version cannot be found is not resumed, as events
 * of two versions do not fit together.
 */
class StreamOrigins : public QObject {
 public:
  using Clock = routing::Clock;

  /** Connections to the other instances. */
  struct Links {
    using PeersOf = std::function<std::vector<std::string>(
        const std::string& key, size_t count)>;

    /** @return reachable peers that are not stopping, by their weight for the
     * key. */
    PeersOf holders;
    /** @return reachable peers, those that are stopping too. */
    PeersOf may_hold;
    /** @return the instance that owns a key; nullopt: this one. */
    std::function<std::optional<std::string>(const std::string& key)> owner_of;
    /** Adds to the next frame to a peer. */
    std::function<void(const std::string& name,
                       const std::function<void(peer::Frame&)>&)>
        send;
    /** @return number of instances of the fleet; 0: not known yet. */
    std::function<int()> fleet_size;
  };
  /** Receives the origin; nullopt: not found. */
  using Callback =
      std::function<void(const std::optional<streams::StreamOrigin>&)>;

  /** @param registry the versions of all services. @param archive of origins.
   * @param metrics counters. All must outlive this. @param links see Links. */
  StreamOrigins(VersionRegistry& registry, OriginArchive& archive,
                EntryMetrics& metrics, Links links);

  /**
   * Records a stream that begins at this instance. Called before its first
   * event is sent to the caller.
   * @param id the stream. @param origin its origin.
   * @param targets services that its route allows.
   */
  void OnBegun(const streams::StreamId& id, const streams::StreamOrigin& origin,
               std::span<const routing::RouteTarget> targets);
  /**
   * Finds the origin of a stream.
   * @param id the stream, as the caller states it.
   * @param targets services that the stream's route allows.
   * @param done called once, from inside this call or within a fraction of a
   *     second.
   */
  void Find(const streams::StreamId& id,
            std::span<const routing::RouteTarget> targets, Callback done);

  /** @param frame of a peer; its records are kept. @param reply next frame to
   * the peer; receives the answers to its queries. */
  void OnQueries(const peer::Frame& frame, peer::Frame* reply);
  /** @param name a peer. @param frame its frame, with answers. */
  void OnAnswers(const std::string& name, const peer::Frame& frame);
  /** Sends the records of the streams that began here to their holders, once
   * the service has several versions. @param service the service. */
  void OnVersionsChanged(const std::string& service);
  /** Sends the records again that had too few holders. Called after each read
   * of the fleet's list. */
  void OnFleetList();
  /** Sends recent records to the writers of the archive again if these have
   * changed. Called when peers were lost. */
  void OnPeersChanged();
  /** Sends recent records to the writers of the archive again, after the store
   * has lost recent writes. */
  void OnNewEra();

 private:
  /** A search that is in progress. */
  struct Search {
    streams::StreamId id;
    std::vector<std::string> services;
    Callback done;
    bool read_tried = false;           ///< The registry has been read.
    bool registry_read = false;        ///< The store has answered.
    bool asked = false;                ///< Peers have been asked.
    std::set<std::string> unanswered;  ///< Peers asked that have not answered.
    /** All answers so far name the versions that are known here. */
    bool peers_agree = true;
    int answers = 0;
    bool archive_tried = false;  ///< A read of the archive was asked for.
    bool archive_open = false;   ///< Its outcome is awaited.
    bool archive_read = false;   ///< It has succeeded.
    /** Only the archive may still tell the origin. */
    bool concluding = false;
    Clock::time_point asked_at;  ///< Default: answers are not awaited.
  };

  /** @return all registered versions of the services. */
  std::vector<streams::StreamOrigin> VersionsOf(
      std::span<const std::string> services) const;
  /** @return the origin of all streams of the services if these are one service
   * with a single version; else nullopt. */
  std::optional<streams::StreamOrigin> OnlyOrigin(
      std::span<const std::string> services) const;
  void ReadRegistry(uint64_t ticket);
  void ReadArchive(uint64_t ticket);
  void OnArchiveRead(uint64_t ticket, bool read);
  void AskPeers(uint64_t ticket);
  void OnAsked(uint64_t ticket);
  void Conclude(uint64_t ticket);
  /** @return true if the search may rely on the versions known here and at the
   * peers asked although the registry did not answer. */
  bool MayRelyOnPeers(const Search& search) const;
  void CheckOverdue();
  void Finish(uint64_t ticket, std::string_view how,
              const std::optional<streams::StreamOrigin>& origin);
  /** @return true if streams of these services are recorded at peers and in the
   * archive. @param targets number of services. @param services the services.
   */
  bool AreRecorded(size_t targets, std::span<const std::string> services) const;
  void SendToHolders(const streams::OriginRecords::Record& record);
  /** @param record a record of a stream that began here. @param holders peers
   * to which it is sent anyway. */
  void SendToWriter(const streams::OriginRecords::Record& record,
                    std::span<const std::string> holders);
  /** Archives the records of a frame whose slots this instance writes, or
   * keeps them until the fleet's list tells whether it does. */
  void Archive(std::span<const peer::StreamRecord> records);
  /** Archives the records that came before the fleet's list was known. */
  void ArchiveEarly();
  /** @return the writer of a slot of the archive; empty: this instance. */
  std::string WriterOf(size_t slot) const;
  /** Sends records to the writer of a slot again. @param slot the slot.
   * @param age greatest age of the records. */
  void SendAgain(size_t slot, std::chrono::milliseconds age);

  VersionRegistry& registry_;
  OriginArchive& archive_;
  EntryMetrics& metrics_;
  Links links_;
  streams::OriginRecords begun_;  ///< Streams that began at this instance.
  streams::OriginRecords held_;   ///< Streams that began at peers.
  /** Records of streams that began here for which fewer peers were reachable
   * than should hold them, oldest first. */
  std::deque<streams::OriginRecords::Record> short_of_holders_;
  /** Records of peers that came before the fleet's list was known. */
  streams::OriginRecords early_;
  /** Records that were sent to the writers of the archive. */
  streams::OriginRecords archived_;
  /** Writers of the archive to which the last records were sent, see WriterOf;
   * nullopt: none was sent. */
  std::array<std::optional<std::string>, OriginArchive::kSlots> writers_;
  std::map<uint64_t, Search> searches_;  ///< By ticket.
  uint64_t next_ticket_ = 1;
  QTimer overdue_timer_;
};

}  // namespace turmeric::entry
