#pragma once

#include <QObject>
#include <cstddef>
#include <functional>
#include <string_view>

#include "turmeric/http/listener.h"
#include "turmeric/http/tunnel.h"
#include "turmeric/utils/log_interval.h"
#include "turmeric/utils/result.h"

namespace turmeric::entry {

/** Where a tunnel leads, or why it is not opened. */
struct TunnelTarget {
  http::TunnelStatus status = http::TunnelStatus::kUnknown;
  http::Endpoint address;  ///< If `status` is kOpen.
};

/**
 * Opens tunnels to upstreams for peer instances that do not reach them. Bytes
 * are forwarded unchanged; the peer instance decides about requests.
 */
class TunnelServer : public QObject {
 public:
  /** Finds the upstream with an id. */
  using FindTarget = std::function<TunnelTarget(std::string_view upstream_id)>;

  /** @param find_target see FindTarget. @param max_descriptors that the
   * instance may open; 0: not stated. @param on_shed called with each
   * connection that is reset; may be empty. */
  explicit TunnelServer(FindTarget find_target, size_t max_descriptors = 0,
                        std::function<void()> on_shed = {});
  ~TunnelServer() override;

  /** @param address "ip:port". @return kIniInvalid if it cannot be bound. */
  utils::Result<void> Listen(std::string_view address);
  /** @return number of open tunnels. */
  size_t open_tunnels() const;
  /** @param upstream_id an upstream. @return true if a tunnel leads to it. */
  bool LeadsTo(std::string_view upstream_id) const;

 private:
  bool Takes();
  void Accept(int fd);

  FindTarget find_target_;
  const size_t max_tunnels_;
  std::function<void()> on_shed_;
  utils::LogInterval log_interval_;
  http::Listener listener_;
};

}  // namespace turmeric::entry
