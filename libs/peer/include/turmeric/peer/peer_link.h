#pragma once

#include <QObject>
#include <QTimer>
#include <chrono>
#include <functional>
#include <string>
#include <string_view>

#include "turmeric/http/tcp_socket.h"
#include "turmeric/peer/frame.h"

namespace turmeric::peer {

/**
 * One connection between two instances. What is queued in one turn of the
 * event loop leaves as one frame. A frame with orders is acknowledged by the
 * other side's event loop; without that, the link ends: an instance that is
 * frozen or cut off keeps its TCP connection open for seconds.
 */
class PeerLink : public QObject {
 public:
  /** Called with each frame, and once at the end. */
  struct Events {
    std::function<void(Frame&&)> on_frame;
    /** Lets the owner add to a frame that leaves now; may be empty. */
    std::function<void(Frame&)> on_flush;
    std::function<void(std::string_view why)> on_end;
  };

  /** Connects. @param peer where to. @param sender our name.
   * @param events callbacks. @param parent Qt owner. */
  PeerLink(const http::Endpoint& peer, std::string sender, Events events,
           QObject* parent);
  /** @param fd an accepted connection; owned. @param events callbacks.
   * @param parent Qt owner. */
  PeerLink(int fd, Events events, QObject* parent);
  ~PeerLink() override;

  /** @return the frame that leaves at the end of this turn; add to it. */
  Frame& outgoing();
  /** Asks the other side for a sign of life: its silence ends the link. */
  void Greet();
  /** Ends the link without a callback. */
  void Close();
  /** @return true until the link has ended. */
  bool alive() const { return alive_; }
  /** @return true once the other side has sent a frame. */
  bool heard() const { return heard_; }
  /** @return true if the link ended because the other side was silent. */
  bool silent() const { return silent_; }

 private:
  void Attach();
  void OnBytes(std::string_view bytes);
  void OnFrame(Frame&& frame);
  void Flush();
  void End(std::string_view why);

  std::string sender_;
  Events events_;
  http::TcpSocket* socket_;
  std::string pending_;
  Frame next_;
  QTimer flush_;
  QTimer ack_timeout_;
  uint64_t sent_sequence_ = 0;
  uint64_t acknowledged_ = 0;  ///< By the other side.
  uint64_t seen_sequence_ = 0;
  bool greets_ = false;  ///< The next frame wants an acknowledgement.
  bool alive_ = true;
  bool heard_ = false;
  bool silent_ = false;
};

}  // namespace turmeric::peer
