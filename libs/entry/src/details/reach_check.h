#pragma once

#include <QObject>
#include <QTimer>
#include <chrono>
#include <functional>
#include <string>
#include <vector>

#include "turmeric/entry/tunnel_peers.h"
#include "turmeric/routing/reach.h"
#include "turmeric/routing/upstream.h"

namespace turmeric::http {
class TcpSocket;
}

namespace turmeric::entry {

/** What a check of the path to an upstream has found, with the answers of the
 * peers for which the path does not matter. */
struct ReachFinding {
  routing::CheckResult result;
  bool peer_refused = false;  ///< The upstream's host refused a peer, too.
};

/**
 * One check of the path to an upstream: connects to it without a request, and
 * if that fails, through peer instances. The connections are closed at once.
 */
class ReachCheck : public QObject {
 public:
  using Callback = std::function<void(const ReachFinding&)>;

  /**
   * @param upstream the upstream; kept until the check ends.
   * @param peers asked in turn if the direct connection fails; may be empty.
   * @param done called once, never from inside this call.
   */
  ReachCheck(routing::UpstreamPtr upstream, std::vector<TunnelPeer> peers,
             Callback done);
  ~ReachCheck() override;

 private:
  void Connect(std::chrono::milliseconds timeout);
  void OnDirectEnd(const http::TcpSocket& socket);
  void AskPeers();
  void AskPeer(const TunnelPeer& peer);
  void OnPeerEnd(const http::TcpSocket& socket);
  void Complete();

  routing::UpstreamPtr upstream_;
  std::vector<TunnelPeer> peers_;
  Callback done_;
  ReachFinding finding_;
  QTimer second_attempt_;
  int open_ = 0;      ///< Connections without a result.
  size_t asked_ = 0;  ///< Those of `peers_` that were asked.
};

}  // namespace turmeric::entry
