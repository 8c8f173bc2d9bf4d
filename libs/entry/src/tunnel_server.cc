#include "turmeric/entry/tunnel_server.h"

#include <unistd.h>

#include <algorithm>
#include <utility>

#include "details/tunnel.h"
#include "turmeric/utils/decision_log.h"

namespace turmeric::entry {

namespace {

/** Most tunnels open at a time; each uses two descriptors. */
constexpr size_t kMaxTunnels = 600;
/** Part of the descriptors of an instance that connections for tunnels may
 * have. */
constexpr size_t kDescriptorPart = 3;
constexpr size_t kDescriptorsPerTunnel = 2;

size_t MaxTunnels(size_t descriptors) {
  if (descriptors == 0) return kMaxTunnels;
  return std::min(kMaxTunnels,
                  descriptors / (kDescriptorPart * kDescriptorsPerTunnel));
}

}  // namespace

TunnelServer::TunnelServer(FindTarget find_target, size_t max_descriptors,
                           std::function<void()> on_shed)
    : find_target_(std::move(find_target)),
      max_tunnels_(MaxTunnels(max_descriptors)),
      on_shed_(std::move(on_shed)),
      listener_([this](int fd) { Accept(fd); }) {
  listener_.set_takes([this] { return Takes(); });
}

bool TunnelServer::Takes() {
  // Twice the tunnels: a connection beyond them is told that none is free.
  if (open_tunnels() < kDescriptorsPerTunnel * max_tunnels_) return true;
  if (on_shed_) on_shed_();
  if (const auto reset =
          log_interval_.Count(utils::LogInterval::Clock::now())) {
    utils::DecisionLog("tunnel_connections_reset")
        .Add("connections", *reset)
        .Add("open", open_tunnels());
  }
  return false;
}

TunnelServer::~TunnelServer() = default;

utils::Result<void> TunnelServer::Listen(std::string_view address) {
  return listener_.Listen(http::ParseEndpoint(address));
}

size_t TunnelServer::open_tunnels() const {
  return static_cast<size_t>(children().size());
}

bool TunnelServer::LeadsTo(std::string_view upstream_id) const {
  return std::ranges::any_of(children(), [upstream_id](const QObject* child) {
    const auto* tunnel = dynamic_cast<const Tunnel*>(child);
    return tunnel != nullptr && tunnel->target() == upstream_id;
  });
}

void TunnelServer::Accept(int fd) {
  const bool full = open_tunnels() >= max_tunnels_;
  new Tunnel(
      fd,
      [this, full](std::string_view id) {
        return full ? TunnelTarget{http::TunnelStatus::kUnavailable, {}}
                    : find_target_(id);
      },
      this);
}

}  // namespace turmeric::entry
