#include "turmeric/config/mechanisms.h"

#include <algorithm>
#include <array>

namespace turmeric::config {

namespace {

/** In the order of Mechanism. */
constexpr std::array<std::string_view, kMechanismCount> kNames = {
    "one_owner_places", "prompt_memory",   "zone_shards",
    "shard_spill",      "zone_in_queue",   "late_last",
    "refuse_unreached", "refuse_too_late", "backing_up",
    "large_last",       "stage_times",     "early_release",
    "stages_again",     "usual_deadlines", "ejection",
    "repeats",          "try_next",        "engine_priority",
    "long_watches",     "store_relays",    "quarantine",
    "cold_limit",       "upstream_limit",  "tunnels",
    "expected_time",    "fair_shares",     "engine_room",
};

}  // namespace

std::string_view MechanismName(Mechanism mechanism) {
  return kNames[static_cast<size_t>(mechanism)];
}

std::optional<Mechanism> ParseMechanism(std::string_view name) {
  const auto* const it = std::ranges::find(kNames, name);
  if (it == kNames.end()) return std::nullopt;
  return static_cast<Mechanism>(it - kNames.begin());
}

}  // namespace turmeric::config
