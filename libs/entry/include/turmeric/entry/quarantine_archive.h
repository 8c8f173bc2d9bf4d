#pragma once

#include <QObject>
#include <QTimer>
#include <chrono>
#include <functional>
#include <map>
#include <span>
#include <string>
#include <vector>

#include "turmeric/quarantine/crash.h"
#include "turmeric/store/logged_objects.h"
#include "turmeric/store/object_source.h"

namespace turmeric::entry {

/**
 * Keeps the crashes of quarantined requests in the platform's store, for
 * instances that cannot receive them from others: after a restart of the whole
 * fleet, or without a link to the others. The store is read at the start and
 * after a crash that this instance has detected. The store is not watched, so
 * that a fleet without crashes makes no calls after its start.
 */
class QuarantineArchive : public QObject {
 public:
  using Clock = quarantine::Clock;
  /** Receives the crashes of all requests that the store holds. */
  using ReadCallback = std::function<void(std::span<const quarantine::Crash>)>;

  /** @param source the platform's store; must outlive this. @param kind kind of
   * the objects. @param on_read see ReadCallback. */
  QuarantineArchive(store::ObjectSource& source, std::string kind,
                    ReadCallback on_read);

  /** Reads the store, and once more some seconds later, as the first answer may
   * lack the last writes of a fleet that was killed. A failed read is repeated.
   */
  void Start();
  /** Reads the store: at once, or a second after the previous read if that was
   * less than a second ago. */
  void ReadRateLimited();
  /**
   * Writes crashes, with retries until the store accepts them.
   * @param name of the object, see quarantine::StoredName. @param crashes that
   * a quarantine is based on; empty if it no longer is in force.
   */
  void Write(const std::string& name, std::vector<quarantine::Crash> crashes);
  /** Rewrites recent objects, after the store has lost recent writes. */
  void RewriteRecent();

 private:
  void Read();
  void OnRead(std::span<const store::SourceObject> objects);
  void Send(const std::string& name);
  void MarkWritten(const std::string& name);

  store::ObjectSource& source_;
  std::string kind_;
  ReadCallback on_read_;
  store::LoggedObjects unreadable_;
  Clock::time_point last_read_at_;
  QTimer read_timer_;
  std::chrono::milliseconds read_backoff_;
  /** By name; not yet accepted by the store. */
  std::map<std::string, std::vector<quarantine::Crash>> unwritten_;
  std::chrono::milliseconds backoff_;
  /** A recent write that the store has accepted. */
  struct Written {
    std::vector<quarantine::Crash> crashes;
    Clock::time_point at;
  };
  std::map<std::string, Written> written_;  ///< By name.
  QTimer retry_;
};

}  // namespace turmeric::entry
