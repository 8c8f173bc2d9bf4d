#pragma once

#include <QHttpServerResponder>
#include <QPointer>
#include <QTcpSocket>
#include <functional>
#include <vector>

namespace turmeric::http::details {

/** The response to one request on a caller's connection. It is written once all
 * earlier responses on the connection are complete. */
class Exchange {
 public:
  using WriteFunction = std::function<void(QHttpServerResponder&)>;

  /** @param responder Qt's writer for this request. @param socket the caller's
   * connection. */
  Exchange(QHttpServerResponder&& responder, QTcpSocket* socket)
      : responder_(std::move(responder)), socket_(socket) {}

  /** @param write called at once if this response is active, otherwise once it
   * becomes active. */
  void WriteOrDefer(WriteFunction write);
  /** Marks the response as complete. */
  void Finish();
  /** Makes this the active response of its connection and runs the deferred
   * writes. */
  void Activate();
  /** Calls the callback of set_on_disconnected, once. */
  void NotifyDisconnected();

  /** @return true once the response is complete. */
  bool finished() const { return finished_; }
  /** @return the connection, or nullptr once the caller has disconnected. */
  QTcpSocket* socket() const;
  /** @param callback see Responder::OnDisconnected. */
  void set_on_disconnected(std::function<void()> callback) {
    on_disconnected_ = std::move(callback);
  }

 private:
  QHttpServerResponder responder_;
  QPointer<QTcpSocket> socket_;
  std::vector<WriteFunction> deferred_writes_;
  std::function<void()> on_disconnected_;
  bool active_ = false;
  bool finished_ = false;
};

}  // namespace turmeric::http::details
