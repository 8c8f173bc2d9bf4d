#pragma once

#include <QObject>
#include <QTimer>
#include <chrono>
#include <cstddef>
#include <functional>
#include <map>
#include <string>
#include <string_view>
#include <vector>

#include "turmeric/limits/intake_limit.h"
#include "turmeric/utils/log_interval.h"

namespace turmeric::peer {
struct Frame;
}

namespace turmeric::entry {

class EntryMetrics;

/** Connections of a CallerIntake to the other instances. */
struct IntakeLinks {
  using AddToFrame = std::function<void(peer::Frame&)>;

  /** @return the next instances by name, of which there are `count` at most. */
  std::function<std::vector<std::string>(size_t count)> successors;
  /** Adds to the next frame to an instance. */
  std::function<void(const std::string& name, const AddToFrame&)> send;
  /** Closes the connection of a caller for a new one, see http::CloseForNew().
   * Returns false if there is none to close. */
  std::function<bool()> close_for_new;
};

/**
 * @param descriptors that an instance may open; 0: the limit that the system
 *     states.
 * @param bytes that connections may hold without their requests; 0: no bound.
 * @return connections of callers at most.
 */
size_t MaxCallers(size_t descriptors, size_t bytes);

/**
 * Decides which new connections of callers this instance takes. Those beyond
 * its means are left unread, so that the callers retry at other instances at
 * once. An instance that is overloaded tells this to a few others. While most
 * of the instances that would tell this one are overloaded too, connections are
 * taken, and requests are refused if they cannot be served: a retry elsewhere
 * would not help.
 */
class CallerIntake : public QObject {
 public:
  using Clock = limits::Clock;

  /**
   * @param metrics counters of this instance; must outlive this.
   * @param max_callers connections of callers at most, see MaxCallers().
   * @param links see IntakeLinks.
   */
  CallerIntake(EntryMetrics& metrics, size_t max_callers, IntakeLinks links);

  /** Decides on a new connection. @param open_callers open connections of
   * callers. @return true if it is to be taken. */
  bool Takes(size_t open_callers);
  /** Records a request. @param receive_time from its first byte to its last. */
  void OnRequest(std::chrono::milliseconds receive_time);
  /** Handles what a peer's frame states about its load. @param name of the
   * peer. @param frame its frame. */
  void OnFrame(const std::string& name, const peer::Frame& frame);

 private:
  void MeasureLoopDelay(Clock::time_point now);
  bool OthersHaveRoom(Clock::time_point now);
  void LeaveUnread(std::string_view reason, size_t open_callers);
  void Announce();

  EntryMetrics& metrics_;
  IntakeLinks links_;
  limits::IntakeLimit limit_;
  size_t max_callers_;
  bool loop_measured_ = false;  ///< A measurement is in progress.
  /** Instances that stated that they are overloaded, and when. */
  std::map<std::string, Clock::time_point> overloaded_;
  size_t told_by_ = 0;  ///< Instances that would tell this one.
  bool announced_ = false;
  QTimer announce_timer_;
  utils::LogInterval log_interval_;
};

}  // namespace turmeric::entry
