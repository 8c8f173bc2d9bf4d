#pragma once

#include <cstdint>
#include <optional>
#include <utility>

#include "turmeric/entry/engine_placer.h"

namespace turmeric::entry {

/**
 * The placement of one request on an engine, from the order until the request
 * has ended. Destroying this object ends the placement; no callback is called
 * afterwards.
 */
class EnginePlacement {
 public:
  /** @param placer must outlive this. */
  explicit EnginePlacement(EnginePlacer& placer)
      : placer_(placer), ticket_(placer.NewTicket()) {}
  ~EnginePlacement() { placer_.End({ticket_, outcome_}); }
  EnginePlacement(const EnginePlacement&) = delete;
  EnginePlacement& operator=(const EnginePlacement&) = delete;

  /**
   * @param order the order, without ticket.
   * @param done see EnginePlacer::Choose.
   * @param spread_key see EnginePlacer::Choose.
   */
  void Choose(peer::PlacementOrder order, EnginePlacer::ChosenCallback done,
              const std::string& spread_key = {}) {
    order.ticket = ticket_;
    placer_.Choose(std::move(order), std::move(done), spread_key);
  }
  /**
   * Called when the response has begun: the prompt is read. Later calls have no
   * effect.
   */
  void OnPromptRead() {
    if (!std::exchange(prompt_read_, true)) placer_.OnPromptRead(ticket_);
  }

  /** @param outcome outcome of the send, reported when the placement ends. */
  void set_outcome(routing::Outcome outcome) { outcome_ = outcome; }

 private:
  EnginePlacer& placer_;
  uint64_t ticket_;
  bool prompt_read_ = false;
  std::optional<routing::Outcome> outcome_;
};

}  // namespace turmeric::entry
