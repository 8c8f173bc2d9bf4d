#include "turmeric/entry/tunnel_peers.h"

#include <algorithm>
#include <random>
#include <tuple>
#include <utility>

namespace turmeric::entry {

using std::chrono::milliseconds;

namespace {

/** Time for which a statement of a partition holds; it is repeated each second.
 */
constexpr milliseconds kStatementLifetime{2500};
/** Time for which a peer that did not answer is used only if no other is left.
 */
constexpr milliseconds kAvoidTime{1000};
/** Open tunnels that outweigh one passage from zone to zone. */
constexpr int kZoneCost = 8;

}  // namespace

TunnelPeers::TunnelPeers(std::string own_name, std::string zone,
                         IsUsable is_usable)
    : own_name_(std::move(own_name)),
      zone_(std::move(zone)),
      is_usable_(std::move(is_usable)) {}

void TunnelPeers::SetInstances(const Instances& fleet) {
  std::erase_if(peers_,
                [&](const auto& p) { return !fleet.contains(p.first); });
  for (const auto& [name, info] : fleet) {
    if (name == own_name_ || info.tunnel_address.empty()) continue;
    Peer& peer = peers_[name];
    peer.address = http::ParseEndpoint(info.tunnel_address);
    peer.zone = info.zone;
  }
}

void TunnelPeers::OnStatement(std::string_view name,
                              peer::ReachStatement statement,
                              Clock::time_point now) {
  const auto it = peers_.find(name);
  if (it == peers_.end() || statement == peer::ReachStatement::kNone) return;
  it->second.partitioned_until = statement == peer::ReachStatement::kPartitioned
                                     ? now + kStatementLifetime
                                     : now;
}

int TunnelPeers::CostOf(const Peer& peer,
                        std::string_view upstream_zone) const {
  const int passages =
      (peer.zone == zone_ ? 0 : 1) + (peer.zone == upstream_zone ? 0 : 1);
  return passages * kZoneCost + peer.open;
}

std::vector<TunnelPeer> TunnelPeers::Choose(std::string_view upstream_zone,
                                            size_t count,
                                            Clock::time_point now) const {
  static std::minstd_rand engine{std::random_device{}()};
  struct Candidate {
    std::tuple<bool, int, uint32_t> rank;
    const std::string* name;
    const Peer* peer;
  };
  std::vector<Candidate> candidates;
  for (const auto& [name, peer] : peers_) {
    if (!MayUse(name, peer, now)) continue;
    // The random number spreads the tunnels of instances that know equally
    // little over all peers.
    candidates.push_back({.rank = {now < peer.avoided_until,
                                   CostOf(peer, upstream_zone), engine()},
                          .name = &name,
                          .peer = &peer});
  }
  std::ranges::sort(candidates, {}, &Candidate::rank);
  std::vector<TunnelPeer> chosen;
  for (const Candidate& candidate : candidates) {
    if (chosen.size() >= count) break;
    chosen.push_back({*candidate.name, candidate.peer->address});
  }
  return chosen;
}

bool TunnelPeers::MayUse(const std::string& name, const Peer& peer,
                         Clock::time_point now) const {
  return now >= peer.partitioned_until && is_usable_(name);
}

std::optional<TunnelPeer> TunnelPeers::Find(std::string_view name,
                                            Clock::time_point now) const {
  const auto it = peers_.find(name);
  if (it == peers_.end() || now < it->second.avoided_until ||
      !MayUse(it->first, it->second, now)) {
    return std::nullopt;
  }
  return TunnelPeer{it->first, it->second.address};
}

void TunnelPeers::OnOpened(std::string_view name) {
  const auto it = peers_.find(name);
  if (it != peers_.end()) ++it->second.open;
}

void TunnelPeers::OnClosed(std::string_view name) {
  const auto it = peers_.find(name);
  if (it != peers_.end()) --it->second.open;
}

void TunnelPeers::OnNoAnswer(std::string_view name, Clock::time_point now) {
  const auto it = peers_.find(name);
  if (it != peers_.end()) it->second.avoided_until = now + kAvoidTime;
}

}  // namespace turmeric::entry
