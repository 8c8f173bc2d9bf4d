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
 * One connection between two instances. Messages queued in one iteration of the
 * event loop are sent as one frame. The event loop of the peer instance
 * acknowledges each frame that contains orders. If an acknowledgement times
 * out, the link ends without waiting for TCP, because the TCP connection of a
 * frozen or unreachable instance stays open for seconds.
 */
class PeerLink : public QObject {
 public:
  /** Callbacks of a link. */
  struct Events {
    /** Called with each received frame. */
    std::function<void(Frame&&)> on_frame;
    /** Called before a frame is sent, so that the owner can add to it; may be
     * empty. */
    std::function<void(Frame&)> on_flush;
    /** Called once when the link ends, unless Close() ended it.
     * @param why reason for the log. */
    std::function<void(std::string_view why)> on_end;
  };

  /** Connects to a peer instance. @param peer its address. @param sender
   * identity of this instance, sent in the first frame.
   * @param events callbacks. @param parent Qt owner. */
  PeerLink(const http::Endpoint& peer, std::string sender, Events events,
           QObject* parent);
  /** @param fd accepted connection; owned. @param events callbacks.
   * @param parent Qt owner. */
  PeerLink(int fd, Events events, QObject* parent);
  ~PeerLink() override;

  /** @return the frame that is sent at the end of this iteration of the event
   * loop; the caller adds its messages to it. */
  Frame& outgoing();
  /** Sends a frame that requests an acknowledgement; the link ends if the
   * acknowledgement times out. */
  void RequestAck();
  /** Ends the link without a callback. */
  void Close();
  /** @return true until the link has ended. */
  bool alive() const { return alive_; }
  /** @return bytes received in part or not handed to the system yet. */
  size_t buffered() const;
  /** @return true once a frame has been received. */
  bool has_received() const { return has_received_; }
  /** @return true if the link ended because an acknowledgement timed out. */
  bool ack_timed_out() const { return ack_timed_out_; }

 private:
  void AttachSocket();
  void OnBytes(std::string_view bytes);
  void OnFrame(Frame&& frame);
  void Flush();
  void End(std::string_view why);

  std::string sender_;
  Events events_;
  http::TcpSocket* socket_;
  std::string receive_buffer_;
  Frame next_frame_;
  QTimer flush_timer_;
  QTimer ack_timer_;
  uint64_t sent_sequence_ = 0;
  uint64_t acknowledged_sequence_ = 0;  ///< Highest sequence acknowledged.
  uint64_t received_sequence_ = 0;
  bool ack_requested_ = false;  ///< Set a sequence on the next frame.
  bool alive_ = true;
  bool has_received_ = false;
  bool ack_timed_out_ = false;
};

}  // namespace turmeric::peer
