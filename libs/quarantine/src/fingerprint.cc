#include "turmeric/quarantine/fingerprint.h"

#include <xxhash.h>

#include <array>
#include <cstdint>
#include <cstdio>
#include <memory>

namespace turmeric::quarantine {

namespace {

using HashState = std::unique_ptr<XXH3_state_t, decltype(&XXH3_freeState)>;

/** Hashes the length before the text, so that equal concatenations of different
 * texts do not collide. */
void Add(XXH3_state_t* state, std::string_view text) {
  const uint64_t size = text.size();
  XXH3_64bits_update(state, &size, sizeof(size));
  XXH3_64bits_update(state, text.data(), text.size());
}

}  // namespace

std::string Fingerprint(const RequestContent& content) {
  const HashState state(XXH3_createState(), &XXH3_freeState);
  XXH3_64bits_reset(state.get());
  for (const std::string_view text :
       {content.caller, content.method, content.host, content.target,
        content.body}) {
    Add(state.get(), text);
  }
  constexpr size_t kDigits = 16;
  std::array<char, kDigits + 1> text{};
  std::snprintf(
      text.data(), text.size(), "%016llx",
      static_cast<unsigned long long>(XXH3_64bits_digest(state.get())));
  return {text.data(), kDigits};
}

}  // namespace turmeric::quarantine
