#pragma once

#include <cstdint>
#include <unordered_map>

#include "turmeric/routing/upstream.h"

namespace turmeric::routing {

/**
 * The requests that one instance was told to send to engines, as load on
 * these, until it tells that their prompts are read and that they have ended.
 * What is left counts no more once the book is destroyed. Time is passed in.
 */
class PlacementBook {
 public:
  PlacementBook() = default;
  ~PlacementBook();
  PlacementBook(const PlacementBook&) = delete;
  PlacementBook& operator=(const PlacementBook&) = delete;

  /**
   * @param ticket names the request. @param engine where it goes.
   * @param prompt_ms time to read its prompt. @param now the time.
   */
  void Add(uint64_t ticket, UpstreamPtr engine, double prompt_ms,
           Clock::time_point now);
  /** @param ticket a request whose answer has begun. */
  void PromptRead(uint64_t ticket);
  /** @param ticket a request that has ended; unknown ones are ignored.
   * @return its engine, or nullptr. */
  UpstreamPtr End(uint64_t ticket);
  /** Drops requests whose end was lost on the way. @param now the time. */
  void Expire(Clock::time_point now);
  /** @return requests open. */
  size_t size() const { return open_.size(); }

 private:
  struct Open {
    UpstreamPtr engine;
    double prompt_ms = 0;
    Clock::time_point since;
  };
  static void TakeOff(Open& open);

  std::unordered_map<uint64_t, Open> open_;
};

}  // namespace turmeric::routing
