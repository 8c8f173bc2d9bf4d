#pragma once

#include <cstddef>
#include <functional>
#include <string>

#include "turmeric/memory/charge.h"

namespace turmeric::entry {

class MemoryGuard;

/** How the bytes of an answer that is held back are slowed down or dropped. */
struct HeldAnswerEvents {
  /** Pauses (true) or resumes (false) reading the answer. */
  std::function<void(bool paused)> pause;
  /** Gives the answer up; may destroy the HeldAnswer. */
  std::function<void()> give_up;
};

/** An answer of an upstream that is held back until it is complete, charged to
 * the account of the instance. */
class HeldAnswer {
 public:
  /** @param guard the instance's guard; must outlive this. @param upstream its
   * id, for the log. @param events see HeldAnswerEvents. */
  HeldAnswer(MemoryGuard& guard, std::string upstream, HeldAnswerEvents events);
  ~HeldAnswer();
  HeldAnswer(const HeldAnswer&) = delete;
  HeldAnswer& operator=(const HeldAnswer&) = delete;

  /** Records the bytes held. May give this answer up, and so destroy this
   * object: the caller must not use it afterwards. @param bytes bytes held. */
  void Set(size_t bytes);
  /** Called when the answer is complete or has failed: it can no longer be
   * given up, and its bytes stay charged. */
  void Keep();
  /** As Keep, and removes the bytes. */
  void Release();

  /** @return bytes held. */
  size_t bytes() const { return charge_.bytes(); }
  /** @return id of the upstream. */
  const std::string& upstream() const { return upstream_; }
  /** @return true while reading is paused for memory. */
  bool paused() const { return paused_; }
  /** @param paused see HeldAnswerEvents::pause. */
  void Pause(bool paused);
  /** Gives the answer up. */
  void GiveUp();
  /** @return its charge. */
  const memory::Charge& charge() const { return charge_; }

 private:
  MemoryGuard& guard_;
  std::string upstream_;
  HeldAnswerEvents events_;
  memory::Charge charge_;
  bool open_ = true;  ///< It can be paused and given up.
  bool paused_ = false;
};

}  // namespace turmeric::entry
