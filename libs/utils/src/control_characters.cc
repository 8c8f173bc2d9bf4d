#include "turmeric/utils/control_characters.h"

#include <algorithm>

namespace turmeric::utils {

bool HasControlCharacter(std::string_view text) {
  return std::ranges::any_of(text, IsControlCharacter);
}

std::string EscapeControlCharacters(std::string_view text) {
  constexpr std::string_view kDigits = "0123456789abcdef";
  constexpr size_t kBase = 16;
  std::string escaped;
  escaped.reserve(text.size());
  for (const char c : text) {
    if (!IsControlCharacter(c)) {
      escaped.push_back(c);
      continue;
    }
    const auto code = static_cast<unsigned char>(c);
    escaped.append("\\x");
    escaped.push_back(kDigits[code / kBase]);
    escaped.push_back(kDigits[code % kBase]);
  }
  return escaped;
}

}  // namespace turmeric::utils
