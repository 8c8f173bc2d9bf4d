#pragma once

#include <QPointer>
#include <functional>
#include <string_view>

#include "turmeric/http/server_connection.h"

namespace turmeric::entry {

/**
 * The answer to one caller: a whole message, or a stream that is begun once
 * and then ended or broken off. Does nothing once the caller has gone.
 */
class CallerAnswer {
 public:
  /** Holds an upstream back, or lets it go on. */
  using PauseUpstream = std::function<void(bool paused)>;

  /** @param connection the caller's. @param on_gone called once if the caller
   * goes before its answer has ended. */
  CallerAnswer(http::ServerConnection& connection,
               std::function<void()> on_gone);

  /** @return true until the caller has gone. */
  bool caller_waits() const { return !connection_.isNull(); }
  /** @return true once a stream has begun. */
  bool streaming() const { return streaming_; }
  /** @param message the whole answer. */
  void Respond(const http::ResponseMessage& message);
  /** @param head the stream's. */
  void BeginStream(const http::ResponseHead& head);
  /**
   * Passes part of a stream that has begun on.
   * @param events whole events. @param pause called while the caller reads
   *     more slowly than its upstream writes.
   */
  void PassEvents(std::string_view events, const PauseUpstream& pause);
  /** Ends a stream as complete. */
  void EndStream();
  /** Closes so that a stream that has begun cannot look complete. */
  void BreakOff();

 private:
  QPointer<http::ServerConnection> connection_;
  bool streaming_ = false;
  bool paused_ = false;
};

}  // namespace turmeric::entry
