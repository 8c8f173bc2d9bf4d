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
#include "turmeric/store/object_source.h"

namespace turmeric::entry {

/**
 * Keeps the crashes of quarantined requests in the platform's store, for
 * instances that cannot receive them from others: after a restart of the whole
 * fleet, or without a link to the others. The store is read at the start and
 * after a crash that this instance has detected. The store is not watched, so
 * that a fleet without crashes makes no calls.
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

  /** Reads the store. */
  void Read();
  /** Reads the store: at once, or a second after the previous read if that was
   * less than a second ago. */
  void ReadRateLimited();
  /**
   * Writes the crashes of a request, with retries until the store accepts them.
   * @param fingerprint of the request. @param crashes that it is quarantined
   *     for; empty if it no longer is quarantined.
   */
  void Write(const std::string& fingerprint,
             std::vector<quarantine::Crash> crashes);
  /** Rewrites recent objects, after the store has lost recent writes. */
  void RewriteRecent();

 private:
  void OnRead(std::span<const store::SourceObject> objects);
  void Send(const std::string& fingerprint);
  void MarkWritten(const std::string& fingerprint);

  store::ObjectSource& source_;
  std::string kind_;
  ReadCallback on_read_;
  Clock::time_point last_read_at_;
  QTimer read_timer_;
  /** By fingerprint; not yet accepted by the store. */
  std::map<std::string, std::vector<quarantine::Crash>> unwritten_;
  std::chrono::milliseconds backoff_;
  /** A recent write that the store has accepted. */
  struct Written {
    std::vector<quarantine::Crash> crashes;
    Clock::time_point at;
  };
  std::map<std::string, Written> written_;  ///< By fingerprint.
  QTimer retry_;
};

}  // namespace turmeric::entry
