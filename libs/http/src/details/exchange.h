#pragma once

#include <QHttpServerResponder>
#include <QPointer>
#include <QTcpSocket>
#include <functional>
#include <vector>

namespace turmeric::http::details {

/** One request's answer on a caller's connection, written in its turn. */
class Exchange {
 public:
  using Write = std::function<void(QHttpServerResponder&)>;

  /** @param responder Qt's writer. @param socket the caller's connection. */
  Exchange(QHttpServerResponder&& responder, QTcpSocket* socket)
      : responder_(std::move(responder)), socket_(socket) {}

  /** @param write applied now if it is this answer's turn, else then. */
  void Do(Write write);
  /** Marks the answer complete; the connection's next one may follow. */
  void Finish();
  /** This answer's turn has come: flushes what waited. */
  void TakeTurn();
  /** The connection is gone: tells the owner once. */
  void NotifyGone();

  /** @return true once the answer is complete. */
  bool finished() const { return finished_; }
  /** @return the connection, or nullptr once it is gone. */
  QTcpSocket* socket() const;
  /** @param callback see Responder::OnGone. */
  void set_on_gone(std::function<void()> callback) {
    on_gone_ = std::move(callback);
  }

 private:
  QHttpServerResponder responder_;
  QPointer<QTcpSocket> socket_;
  std::vector<Write> waiting_;
  std::function<void()> on_gone_;
  bool has_turn_ = false;
  bool finished_ = false;
};

}  // namespace turmeric::http::details
