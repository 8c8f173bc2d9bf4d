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
 * Service "membership": the set of live entry instances. The roster is the
 * store's `instances/` objects, one per instance, written at start and deleted
 * at a planned stop; UDP gossip determines which instances of the roster are
 * alive (docs/design/membership.md). Without a membership port only this
 * instance is counted.
 */
class MembershipService : public kernel::Service {
 public:
  /** @param settings INI settings of this instance. */
  explicit MembershipService(config::InstanceSettings settings);
  ~MembershipService() override;
  std::string_view name() const override { return "membership"; }
  utils::Result<void> Start(kernel::Kernel& kernel) override;
  void Stop() override;
  /**
   * Announces to peer instances that this instance is stopping, and deletes its
   * roster entry.
   */
  void Leave();
  /** @return number of live instances, this one included. */
  int live_count() const;
  /** @return bytes of all membership datagrams sent so far. */
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
  QTimer tick_timer_;
  QTimer roster_timer_;
  bool registered_ = false;
  bool leaving_ = false;
  int64_t bytes_sent_ = 0;
};

}  // namespace turmeric::gateway
