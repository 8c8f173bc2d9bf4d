#pragma once

#include <QTimer>
#include <QUdpSocket>
#include <memory>

#include "turmeric/config/instance_settings.h"
#include "turmeric/kernel/service.h"
#include "turmeric/membership/membership.h"
#include "turmeric/utils/result.h"

namespace turmeric::gateway {

class StoreService;

/**
 * Service "membership": which entry instances are at work. The roster is the
 * store's `instances/` objects, one per instance, written at start and
 * deleted at a planned stop; who of them is alive is told by UDP gossip
 * (docs/design/membership.md). Without a membership port it counts only
 * this instance.
 */
class MembershipService : public kernel::Service {
 public:
  /** @param settings this instance's INI settings. */
  explicit MembershipService(config::InstanceSettings settings);
  ~MembershipService() override;
  std::string_view name() const override { return "membership"; }
  utils::Result<void> Start(kernel::Kernel& kernel) override;
  void Stop() override;
  /** Tells the others that this instance is stopping. */
  void Leave();
  /** @return instances at work, this one included. */
  int live_count() const;
  /** @return membership datagrams and their bytes sent so far. */
  int64_t bytes_sent() const { return bytes_sent_; }

 private:
  void Send(const std::vector<membership::Datagram>& datagrams);
  void Receive();
  void Register();
  void ReadRoster();

  config::InstanceSettings settings_;
  StoreService* store_ = nullptr;
  std::unique_ptr<membership::Membership> membership_;
  QUdpSocket socket_;
  QTimer tick_;
  QTimer roster_;
  bool registered_ = false;
  bool leaving_ = false;
  int64_t bytes_sent_ = 0;
};

}  // namespace turmeric::gateway
