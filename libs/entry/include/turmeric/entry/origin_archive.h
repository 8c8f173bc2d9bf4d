#pragma once

#include <QObject>
#include <QTimer>
#include <array>
#include <chrono>
#include <cstddef>
#include <functional>
#include <optional>
#include <span>
#include <string>
#include <vector>

#include "turmeric/routing/upstream_clock.h"
#include "turmeric/store/object_source.h"
#include "turmeric/streams/archived_origins.h"
#include "turmeric/streams/segment_writer.h"
#include "turmeric/streams/stream_id.h"
#include "turmeric/streams/stream_origin.h"

namespace turmeric::entry {

/**
 * Keeps the origins of recent streams in the platform's store, for a fleet
 * whose instances have all ended. Each stream belongs to one of a few slots,
 * and each slot has one writer among the instances, so that the writes of the
 * fleet do not grow with its size. The objects of a slot form a ring of
 * segments; they are replaced and not deleted. A writer that follows another
 * one begins in the longest gap between recent segments, so that they replace
 * none of each other's for long. A record that is missing or late means that
 * the origin is not known.
 */
class OriginArchive : public QObject {
 public:
  using Clock = routing::Clock;

  static constexpr size_t kSlots = 2;
  /** Time after its begin for which a stream is found in the archive. */
  static constexpr std::chrono::minutes kLifetime{2};

  /** @param read true if the store has answered. */
  using ReadCallback = std::function<void(bool read)>;

  OriginArchive();

  /** @param source the store; must outlive this. @param kind kind of the
   * objects. */
  void Start(store::ObjectSource& source, std::string kind);
  /** Reads the archive ahead of the searches if this instance has just
   * started. */
  void ReadAhead();

  /** @param id a stream. @return its slot. */
  static size_t SlotOf(const streams::StreamId& id);
  /** @param slot a slot. @return the key whose owner is its writer. */
  static std::string WriterKey(size_t slot);

  /** Writes the origin of a stream soon. Called at the writer of its slot.
   * @param id the stream. @param origin its origin. */
  void Add(const streams::StreamId& id, const streams::StreamOrigin& origin);
  /** @param id a stream. @return its origin according to the last read. */
  std::optional<streams::StreamOrigin> Find(const streams::StreamId& id) const;
  /**
   * Reads the archive. Reads are shared, and reads that find nothing new for
   * their callers become less frequent: a call may end without a read.
   * @param done called from inside this call or within a fraction of a second.
   */
  void Read(ReadCallback done);
  /** Reports that a read has shown the origin of a stream. */
  void OnFound() { read_interval_ = kMinReadInterval; }
  /** @return true once the archive has been read by this process. */
  bool was_read() const { return last_read_at_.has_value(); }

 private:
  static constexpr std::chrono::milliseconds kMinReadInterval{200};

  /** A slot of which this instance may be the writer. */
  struct Slot {
    streams::SegmentWriter writer;
    /** The position of the writer follows from a read of the archive. */
    bool is_placed = false;
  };

  void SendRead();
  void EndWait(bool read);
  void OnRead(const utils::Result<store::SourceBatch>& batch);
  void Apply(std::span<const store::SourceObject> objects);
  void PlaceWriters(const std::array<streams::TakenPositions, kSlots>& taken);
  void WriteDue();
  void Write(size_t slot);

  store::ObjectSource* source_ = nullptr;
  std::string kind_;
  Clock::time_point started_at_;
  streams::ArchivedOrigins known_;
  std::array<Slot, kSlots> slots_;
  std::vector<ReadCallback> waiting_;  ///< For the read that is open.
  bool read_open_ = false;
  bool read_overdue_ = false;  ///< Callers do not wait for the open read.
  std::optional<Clock::time_point> last_read_at_;  ///< That was answered.
  Clock::time_point next_read_at_;
  std::chrono::milliseconds read_interval_ = kMinReadInterval;
  QTimer read_timeout_;
  QTimer write_timer_;
};

}  // namespace turmeric::entry
