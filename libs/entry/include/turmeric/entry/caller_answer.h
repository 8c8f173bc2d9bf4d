#pragma once

#include <QPointer>
#include <functional>
#include <string_view>

#include "turmeric/http/server_connection.h"

namespace turmeric::entry {

/**
 * Writes the answer to one caller: a whole message, or a stream that is begun
 * once and then ended or aborted. Does nothing after the caller has
 * disconnected.
 */
class CallerAnswer {
 public:
  /** Pauses (true) or resumes (false) reading from the upstream. */
  using PauseReading = std::function<void(bool paused)>;

  /** @param connection the caller's connection. @param on_gone called once if
   * the caller disconnects before its answer has ended. */
  CallerAnswer(http::ServerConnection& connection,
               std::function<void()> on_gone);

  /** @return true until the caller disconnects. */
  bool caller_connected() const { return !connection_.isNull(); }
  /** @return true once a stream has begun. */
  bool streaming() const { return streaming_; }
  /** Sends a whole answer. @param message the answer. */
  void Respond(const http::ResponseMessage& message);
  /** Begins a stream. @param head its status and header fields. */
  void BeginStream(const http::ResponseHead& head);
  /**
   * Forwards part of a stream that has begun.
   * @param events whole events. @param pause called with true when the caller
   *     reads more slowly than its upstream writes, and with false once all
   *     buffered bytes have been sent.
   */
  void WriteEvents(std::string_view events, const PauseReading& pause);
  /** Ends a stream as complete. */
  void EndStream();
  /** Closes the connection without the end mark of the stream, so that the
   * caller sees that the stream is incomplete. */
  void Abort();

 private:
  QPointer<http::ServerConnection> connection_;
  bool streaming_ = false;
  bool paused_ = false;
};

}  // namespace turmeric::entry
