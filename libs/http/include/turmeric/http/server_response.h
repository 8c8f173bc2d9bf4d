#pragma once

#include <QPointer>
#include <cstdint>
#include <functional>
#include <memory>
#include <span>
#include <string_view>

#include "turmeric/http/message.h"
#include "turmeric/http/response_progress.h"

namespace turmeric::http {

class ServerConnection;
struct ResponseMessage;

/**
 * The response to one request on a connection. It may outlive the request: a
 * write after the response has ended does not reach the response to the next
 * request, and is logged. Writes after the client has disconnected do nothing.
 */
class ServerResponse {
 public:
  /** @param connection whose open request is answered. */
  explicit ServerResponse(ServerConnection& connection);
  ~ServerResponse();

  /** @return true until the connection object is destroyed. */
  bool connected() const { return !connection_.isNull(); }
  /** @return how far the response has come. */
  ResponseState state() const { return progress_->state; }
  /** @return true until the response has ended or is aborted. */
  bool is_open() const { return IsOpen(*progress_); }
  /** @return true once a response in parts has begun. */
  bool has_begun() const { return progress_->has_begun; }
  /** @return bytes that have not been handed to the system yet; 0 once another
   * request is open. */
  size_t unsent() const;

  /** See the functions of ServerConnection of the same names. */
  void Respond(const ResponseMessage& response);
  void StartChunked(int status, std::span<const HeaderField> headers);
  void StartSized(int status, std::span<const HeaderField> headers,
                  uint64_t length);
  void WriteChunk(std::string_view bytes);
  void EndChunked();
  void Abort();
  void CloseUnfinished();
  void set_on_drained(std::function<void()> callback);

 private:
  /** @return the connection while it serves this response, else nullptr. */
  ServerConnection* Current() const;
  /** As Current(), and logs a step that comes too late. */
  ServerConnection* ConnectionFor(ResponseStep step) const;

  QPointer<ServerConnection> connection_;
  std::shared_ptr<const ResponseProgress> progress_;
};

}  // namespace turmeric::http
