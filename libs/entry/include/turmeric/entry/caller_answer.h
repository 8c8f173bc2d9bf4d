#pragma once

#include <cstdint>
#include <functional>
#include <optional>
#include <string_view>

#include "turmeric/http/message.h"
#include "turmeric/http/server_response.h"

namespace turmeric::http {
class ServerConnection;
struct ResponseMessage;
}  // namespace turmeric::http

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
  bool caller_connected() const { return response_.connected(); }
  /** @return the state of the response for the log: "none", "whole", "begun",
   * "ended" or "aborted". */
  std::string_view state() const { return http::StateName(response_.state()); }
  /** @return number of the caller's connection, see
   * http::ServerConnection::id().
   */
  uint64_t connection_id() const { return connection_id_; }
  /** @return true once a stream, or an answer in parts, has begun. */
  bool streaming() const { return response_.has_begun(); }
  /** @return true while reading from the upstream is paused because the caller
   * reads more slowly. */
  bool paused() const { return paused_; }
  /** Sends a whole answer. @param message the answer. */
  void Respond(const http::ResponseMessage& message);
  /** Begins a stream. @param head its status and header fields. */
  void BeginStream(const http::ResponseHead& head);
  /** Begins an answer that is forwarded in parts. @param head its status and
   * header fields. @param length bytes of its body; nullopt: not known. */
  void BeginParts(const http::ResponseHead& head,
                  std::optional<uint64_t> length);
  /**
   * Forwards part of a stream or an answer that has begun.
   * @param part whole events, or the next bytes. @param pause called with true
   * when the caller reads more slowly than its upstream writes, and with false
   * once all buffered bytes have been sent.
   */
  void Write(std::string_view part, const PauseReading& pause);
  /** Ends a stream, or an answer in parts, as complete. */
  void EndStream();
  /** Closes the connection without the end of the stream or the answer, so that
   * the caller sees that it is incomplete. */
  void Abort();

 private:
  http::ServerResponse response_;
  uint64_t connection_id_;
  bool paused_ = false;
};

}  // namespace turmeric::entry
