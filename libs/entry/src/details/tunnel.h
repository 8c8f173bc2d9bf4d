#pragma once

#include <QObject>
#include <string>
#include <string_view>

#include "turmeric/entry/tunnel_server.h"
#include "turmeric/http/tunnel.h"

namespace turmeric::http {
class TcpSocket;
enum class SocketEnd;
}  // namespace turmeric::http

namespace turmeric::entry {

/**
 * One tunnel from a peer instance to an upstream. If the peer offers it, the
 * upstream's bytes are framed, and an empty frame states an orderly end of the
 * upstream's connection; any other end truncates an answer without a length.
 * Deletes itself at its end.
 */
class Tunnel : public QObject {
 public:
  /** @param fd accepted connection; owned. @param find_target see TunnelServer.
   * @param parent Qt owner. */
  Tunnel(int fd, TunnelServer::FindTarget find_target, QObject* parent);
  ~Tunnel() override;

  /** @return id of the upstream that the tunnel leads to; empty before it is
   * known. */
  const std::string& target() const { return target_; }

 private:
  void OnPeerBytes(std::string_view bytes);
  void Connect(const http::Endpoint& address);
  void OnConnected();
  void OnUpstreamBytes(std::string_view bytes);
  void OnUpstreamEnd(http::SocketEnd end);
  void Refuse(http::TunnelStatus status);
  static void Forward(std::string_view bytes, http::TcpSocket& from,
                      http::TcpSocket& to);
  void End();

  TunnelServer::FindTarget find_target_;
  http::TcpSocket* peer_;
  http::TcpSocket* upstream_ = nullptr;
  std::string head_;    ///< Received part of the request.
  std::string target_;  ///< Id of the upstream.
  http::TunnelFraming framing_ = http::TunnelFraming::kNone;
};

}  // namespace turmeric::entry
