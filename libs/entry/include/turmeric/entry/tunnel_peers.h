#pragma once

#include <chrono>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "turmeric/entry/instance_info.h"
#include "turmeric/http/tcp_socket.h"
#include "turmeric/peer/frame.h"

namespace turmeric::entry {

/** A peer instance that opens a tunnel to an upstream. */
struct TunnelPeer {
  std::string name;
  http::Endpoint address;
};

/**
 * Chooses the peer instances through which this instance reaches upstreams that
 * it does not reach itself: those that state no partition of their own, by zone
 * and by the tunnels already open through them.
 */
class TunnelPeers {
 public:
  using Clock = std::chrono::steady_clock;
  /** @return false if the instance is unreachable or stopping. */
  using IsUsable = std::function<bool(const std::string& name)>;

  /** @param own_name of this instance. @param zone its availability zone.
   * @param is_usable see IsUsable. */
  TunnelPeers(std::string own_name, std::string zone, IsUsable is_usable);

  /** @param fleet all instances, this one too. */
  void SetInstances(const Instances& fleet);
  /** @param name of the sender. @param statement see peer::ReachStatement.
   * @param now current time. */
  void OnStatement(std::string_view name, peer::ReachStatement statement,
                   Clock::time_point now);
  /**
   * @param upstream_zone zone of the upstream to be reached.
   * @param count most peers to choose. @param now current time.
   * @return the peers, the best first; empty: none can be used.
   */
  std::vector<TunnelPeer> Choose(std::string_view upstream_zone, size_t count,
                                 Clock::time_point now) const;
  /** @param name of a peer. @param now current time.
   * @return it, or nullopt if it cannot be used now. */
  std::optional<TunnelPeer> Find(std::string_view name,
                                 Clock::time_point now) const;
  /** @param name of the peer through which a tunnel is opened. */
  void OnOpened(std::string_view name);
  /** @param name of the peer whose tunnel has ended. */
  void OnClosed(std::string_view name);
  /** Avoids a peer that did not answer a tunnel request.
   * @param name of the peer. @param now current time. */
  void OnNoAnswer(std::string_view name, Clock::time_point now);
  /** @return true if the fleet has other instances that open tunnels. */
  bool any() const { return !peers_.empty(); }

 private:
  struct Peer {
    http::Endpoint address;
    std::string zone;
    int open = 0;  ///< Tunnels of this instance through it.
    Clock::time_point partitioned_until;
    Clock::time_point avoided_until;
  };

  bool MayUse(const std::string& name, const Peer& peer,
              Clock::time_point now) const;
  int CostOf(const Peer& peer, std::string_view upstream_zone) const;

  std::string own_name_;
  std::string zone_;
  IsUsable is_usable_;
  std::map<std::string, Peer, std::less<>> peers_;
};

}  // namespace turmeric::entry
