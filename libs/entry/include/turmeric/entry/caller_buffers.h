#pragma once

#include <QObject>
#include <QTimer>
#include <map>
#include <memory>

#include "turmeric/memory/charge.h"
#include "turmeric/memory/read_rate.h"

namespace turmeric::http {
class ServerConnection;
}

namespace turmeric::entry {

class MemoryGuard;

/**
 * Charges the bytes that wait for callers to the account of the instance. While
 * the pressure is high, cuts off callers that read less than
 * 1 KB a second, the slowest first; without pressure, a slow caller is served
 * to its deadline.
 */
class CallerBuffers : public QObject {
 public:
  /** @param guard the instance's guard; must outlive this. */
  explicit CallerBuffers(MemoryGuard& guard);
  ~CallerBuffers() override;

  /** @param connection charged until it is destroyed. */
  void Add(http::ServerConnection& connection);
  /** Samples the read rates of the callers that bytes wait for, and cuts off
   * those that are too slow if the pressure is high. Called by a timer while
   * bytes wait for any caller. @param now the present time. */
  void Check(memory::ReadRate::Clock::time_point now);

 private:
  struct Buffers {
    explicit Buffers(MemoryGuard& guard);
    memory::Charge unsent;
    memory::ReadRate read_rate;
  };

  void Update(http::ServerConnection& connection);
  /** Cuts off the slowest caller, if it is too slow.
   * @return true if one was cut off. */
  bool CutSlowest();

  MemoryGuard& guard_;
  std::map<http::ServerConnection*, std::unique_ptr<Buffers>> buffers_;
  QTimer timer_;  ///< Runs while bytes wait for any caller.
};

}  // namespace turmeric::entry
