#include "turmeric/entry/answer_binding.h"

#include <utility>

#include "turmeric/entry/wire_format.h"
#include "turmeric/utils/random_id.h"

namespace turmeric::entry {

namespace {

constexpr size_t kCallIdDigits = 16;

}  // namespace

http::ResponseBinding BindAnswer(const WireFormat& wire, std::string id) {
  return {.id = std::move(id),
          .id_of =
              [&wire](const http::ResponseHead& head) {
                return wire.decode_answer(head).attempt_id;
              },
          .on_foreign = {}};
}

std::string NewCallId() { return utils::RandomHex(kCallIdDigits); }

}  // namespace turmeric::entry
