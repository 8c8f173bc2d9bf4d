#pragma once

#include <QObject>
#include <QTimer>
#include <chrono>
#include <unordered_map>

#include "turmeric/memory/memory_account.h"
#include "turmeric/memory/pressure.h"

namespace turmeric::memory {
class Charge;
}

namespace turmeric::entry {

class EntryMetrics;
class HeldAnswer;

/**
 * Keeps the buffers of an instance within the bound of its account. From high
 * pressure on, reading of answers that hold more than the mean pauses. At the
 * bound, the largest answers that are held back are given up: pausing alone
 * could leave all answers half read, with none able to complete. Does nothing
 * without a bound.
 */
class MemoryGuard : public QObject {
 public:
  /** @param account the instance's account. @param metrics its metrics; both
   * must outlive this. */
  MemoryGuard(memory::MemoryAccount& account, EntryMetrics& metrics);
  ~MemoryGuard() override;

  /** @return the instance's account. */
  memory::MemoryAccount& account() { return account_; }
  /** @return the present pressure. */
  memory::Pressure pressure() const { return PressureOf(account_); }
  /** @return true if a new request must be refused; counts the refusal. */
  bool RefusesRequest();
  /** Called when bytes other than those of held answers have grown. */
  void OnGrowth();

  // For HeldAnswer.
  /** @param answer can be paused and given up from now on. */
  void Add(HeldAnswer& answer);
  /** @param answer can no longer be paused or given up. */
  void Remove(const HeldAnswer& answer);
  /** @param answer has changed its bytes; may be destroyed by the call. */
  void OnHeld(HeldAnswer& answer);

 private:
  void GiveUpUntilBelowBound();
  /** @return the largest answer that can be given up; nullptr: none. */
  HeldAnswer* LargestOpen() const;
  void OnTick();
  void ResumeReading();
  void LogChange();

  memory::MemoryAccount& account_;
  EntryMetrics& metrics_;
  std::unordered_map<const memory::Charge*, HeldAnswer*> open_;
  memory::Pressure logged_ = memory::Pressure::kNone;
  std::chrono::steady_clock::time_point logged_at_;
  bool giving_up_ = false;
  QTimer timer_;  ///< Runs while there is pressure or reading is paused.
};

}  // namespace turmeric::entry
