#pragma once

#include <string>
#include <string_view>

namespace turmeric::utils {

/** @return true for a control character of ASCII, such as a line break, tab or
 * NUL. */
constexpr bool IsControlCharacter(char c) {
  constexpr char kDelete = 0x7f;
  return static_cast<unsigned char>(c) < ' ' || c == kDelete;
}

/** @param text any text. @return true if it contains a control character. */
bool HasControlCharacter(std::string_view text);

/** @param text any text. @return the text with each control character as
 * "\xNN", so that it stays on one line. */
std::string EscapeControlCharacters(std::string_view text);

}  // namespace turmeric::utils
