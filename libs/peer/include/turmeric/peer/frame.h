#pragma once

#include <array>
#include <chrono>
#include <cstdint>
#include <optional>
#include <span>
#include <string>
#include <vector>

#include "turmeric/quarantine/crash.h"
#include "turmeric/routing/upstream.h"
#include "turmeric/stages/piece.h"

namespace turmeric::peer {

/** A piece handed to another instance. */
struct PieceOrder {
  uint64_t ticket = 0;  ///< Unique for one start of the sender.
  std::string service;  ///< Name of a shard of a stage service.
  stages::Piece piece;
};

/** What became of a piece, told to the instance that ordered it. */
struct PieceDone {
  uint64_t ticket = 0;
  stages::PieceResult result;
};

/** Results of one shard that nothing needs any more. */
struct ReleaseOrder {
  std::string service;
  std::vector<std::string> handles;
};

/** How long the queue of one shard is at the sender. */
struct Backlog {
  std::string service;
  double calls = 0;  ///< Waiting for each of its upstreams.
};

/** Asks the instance that places a service's requests for an engine. */
struct PlacementOrder {
  uint64_t ticket = 0;       ///< Unique for one start of the sender.
  std::string service;       ///< Name of a cell of an engine service.
  std::string shared_part;   ///< First part of the prompt; empty: none.
  std::string session_part;  ///< The part shared within its session.
  int shared_tokens = 0;
  int session_tokens = 0;
  int prompt_tokens = 0;  ///< Of the whole prompt.
  std::string zone;       ///< Preferred availability zone; empty: none.
  int zone_cost_ms = 0;   ///< Waiting that another zone is worth.
  std::vector<std::string> excluded;  ///< Upstreams not to be used.
};

/** Where a request goes. */
struct Placed {
  uint64_t ticket = 0;
  std::string upstream;  ///< Its id; empty: none is left.
};

/** A placed request has ended. */
struct PlacementEnd {
  uint64_t ticket = 0;
  /** How the engine did; nullopt: the end says nothing of it. */
  std::optional<routing::Outcome> outcome;
};

/** What of the platform's store instances pass on to each other. */
enum class StoreKind : int8_t { kConfig, kUpstreams, kEvacuations };

inline constexpr std::array kAllStoreKinds = {
    StoreKind::kConfig, StoreKind::kUpstreams, StoreKind::kEvacuations};

/** One revision of the store for each kind; 0: none is known. */
struct StoreRevisions {
  int64_t config = 0;
  int64_t upstreams = 0;
  int64_t evacuations = 0;

  /** @param kind one of the kinds. @return its revision. */
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

/** One object of the store, as it was read from there. */
struct StoreObject {
  std::string name;
  std::string spec;      ///< JSON text; empty if deleted.
  bool packed = false;   ///< The text is compressed.
  int64_t revision = 0;  ///< Store-wide revision of its last change.
  bool deleted = false;
};

/** All changes of one kind after one revision and up to another. */
struct StoreChanges {
  StoreKind kind = StoreKind::kConfig;
  int64_t follows = 0;
  int64_t revision = 0;
  std::vector<StoreObject> objects;
  uint64_t held_before = 0;  ///< See store::ChangeBatch.
};

/** Asks another instance to pass on the store's changes; said again every
 * second or two, or it is forgotten. */
struct FollowRequest {
  bool wanted = true;
  bool resync = false;  ///< Send what came after the revisions below.
  StoreRevisions known;
};

/** How well an instance that passes on the store's changes knows it. */
struct RelayStatus {
  /** Since the store was last heard by anybody on the sender's path to it. */
  std::chrono::milliseconds store_age{0};
  /** Since the store's last outage ended; nullopt: none is known. */
  std::optional<std::chrono::milliseconds> outage_ended;
  StoreRevisions known;  ///< Up to which it knows all changes.
  /** Since when the sender may lack configurations that the store has accepted;
   * nullopt: it never knew that it had them all. */
  std::optional<std::chrono::milliseconds> config_age;
};

/** One message between two instances. */
struct Frame {
  std::string sender;         ///< Set in the first frame only.
  uint64_t sequence = 0;      ///< Not 0: wants an acknowledgement.
  uint64_t acknowledged = 0;  ///< Highest sequence seen.
  bool leaving = false;       ///< The sender has begun a planned stop.
  std::vector<PieceOrder> pieces;
  std::vector<uint64_t> taken;  ///< Pieces whose inputs were fetched.
  std::vector<PieceDone> done;
  std::vector<uint64_t> cancelled;
  std::vector<ReleaseOrder> releases;
  std::vector<Backlog> backlogs;
  std::vector<PlacementOrder> placements;
  std::vector<Placed> placed;
  std::vector<uint64_t> prompts_read;  ///< Placements whose answer has begun.
  std::vector<PlacementEnd> ended;
  /** The newest changes in the platform's store that the sender has seen, by
   * their revisions. */
  StoreRevisions newest_changes;
  std::optional<FollowRequest> follow;
  std::optional<RelayStatus> relay;
  std::vector<StoreChanges> store_changes;
  std::vector<quarantine::Crash> crashes;      ///< Upstreams that have ended.
  std::vector<quarantine::GoodRun> good_runs;  ///< Of work with crashes.
};

/**
 * @param frame a message. @param now times in it are sent relative to this,
 *     as clocks differ between instances.
 * @return its bytes, without the length before them.
 */
std::vector<uint8_t> Encode(const Frame& frame, stages::Clock::time_point now);

/**
 * @param bytes one message. @param now times in it are counted from this.
 * @return the message, or nullopt if the bytes are none.
 */
std::optional<Frame> Decode(std::span<const uint8_t> bytes,
                            stages::Clock::time_point now);

}  // namespace turmeric::peer
