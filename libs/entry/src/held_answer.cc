#include "turmeric/entry/held_answer.h"

#include <utility>

#include "turmeric/entry/memory_guard.h"

namespace turmeric::entry {

HeldAnswer::HeldAnswer(MemoryGuard& guard, std::string upstream,
                       HeldAnswerEvents events)
    : guard_(guard),
      upstream_(std::move(upstream)),
      events_(std::move(events)),
      charge_(guard.account(), memory::BufferKind::kUpstreamAnswer) {
  guard_.Add(*this);
}

HeldAnswer::~HeldAnswer() {
  if (open_) guard_.Remove(*this);
}

void HeldAnswer::Set(size_t bytes) {
  charge_.Set(bytes);
  // May destroy this object.
  guard_.OnHeld(*this);
}

void HeldAnswer::Keep() {
  if (!std::exchange(open_, false)) return;
  guard_.Remove(*this);
  Pause(false);
}

void HeldAnswer::Release() {
  Keep();
  charge_.Set(0);
}

void HeldAnswer::Pause(bool paused) {
  if (paused == paused_) return;
  paused_ = paused;
  events_.pause(paused);
}

void HeldAnswer::GiveUp() {
  // The callback is copied before it runs: it may destroy this object.
  const auto give_up = events_.give_up;
  give_up();
}

}  // namespace turmeric::entry
