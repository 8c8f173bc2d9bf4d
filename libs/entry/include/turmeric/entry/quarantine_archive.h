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
 * Keeps quarantined work in the platform's store, for instances that cannot
 * hear of it from others: all of a fleet that starts again, and one that is cut
 * off. The store is read at the start and after each crash that is seen here,
 * not followed: a fleet that sees no crash makes no calls.
 */
class QuarantineArchive : public QObject {
 public:
  using Clock = quarantine::Clock;
  /** Gets the crashes under each work that the store holds. */
  using ReadCallback = std::function<void(std::span<const quarantine::Crash>)>;

  /** @param source the platform's store; must outlive this. @param kind of the
   * objects. @param on_read see ReadCallback. */
  QuarantineArchive(store::ObjectSource& source, std::string kind,
                    ReadCallback on_read);

  /** Reads the store. */
  void Read();
  /** Reads the store soon: at once, unless that was asked for just before. */
  void ReadSoon();
  /**
   * Writes work until the store has taken it.
   * @param work its fingerprint. @param crashes that it is quarantined by; none
   *     if it no longer is.
   */
  void Write(const std::string& work, std::vector<quarantine::Crash> crashes);
  /** The store has lost what was written to it lately: writes it again. */
  void WriteAgain();

 private:
  void OnRead(std::span<const store::SourceObject> objects);
  void Send(const std::string& work);
  void NoteWritten(const std::string& work);

  store::ObjectSource& source_;
  std::string kind_;
  ReadCallback on_read_;
  Clock::time_point asked_at_;
  QTimer read_later_;
  /** By work; not yet taken by the store. */
  std::map<std::string, std::vector<quarantine::Crash>> unwritten_;
  std::chrono::milliseconds pause_;
  /** Taken by the store, lately. */
  struct Written {
    std::vector<quarantine::Crash> crashes;
    Clock::time_point at;
  };
  std::map<std::string, Written> written_;  ///< By work.
  QTimer retry_;
};

}  // namespace turmeric::entry
