#pragma once

#include <cstdint>
#include <optional>
#include <utility>

#include "turmeric/entry/engine_placer.h"

namespace turmeric::entry {

/** One request's place on an engine, from when it is asked for; given up when
 * destroyed, and nothing is told after that. */
class EnginePlacement {
 public:
  /** @param placer must outlive this. */
  explicit EnginePlacement(EnginePlacer& placer)
      : placer_(placer), ticket_(placer.NewTicket()) {}
  ~EnginePlacement() { placer_.End({ticket_, outcome_}); }
  EnginePlacement(const EnginePlacement&) = delete;
  EnginePlacement& operator=(const EnginePlacement&) = delete;

  /** @param order what is wanted, without ticket. @param done see
   * EnginePlacer::Choose. */
  void Choose(peer::PlacementOrder order, EnginePlacer::Chosen done) {
    order.ticket = ticket_;
    placer_.Choose(std::move(order), std::move(done));
  }
  /** The answer has begun: the prompt is read. */
  void PromptRead() {
    if (!std::exchange(prompt_read_, true)) placer_.PromptRead(ticket_);
  }

  /** @param outcome how the engine did, told with the end. */
  void set_outcome(routing::Outcome outcome) { outcome_ = outcome; }

 private:
  EnginePlacer& placer_;
  uint64_t ticket_;
  bool prompt_read_ = false;
  std::optional<routing::Outcome> outcome_;
};

}  // namespace turmeric::entry
