#include "turmeric/store/object_name.h"

#include "turmeric/utils/control_characters.h"

namespace turmeric::store {

bool IsUsableName(std::string_view name) {
  constexpr size_t kMaxNameBytes = 1024;
  return !name.empty() && name.size() <= kMaxNameBytes &&
         !utils::HasControlCharacter(name);
}

}  // namespace turmeric::store
