#pragma once

#include <string_view>

#include "turmeric/entry/wire_format.h"

namespace turmeric::entry {

/** What is known of an answer once its connection says that it is whole. */
struct EndedAnswer {
  int status = 0;
  const AnswerInfo& info;
  bool is_event_stream = false;
  bool inside_event = false;  ///< A stream's bytes end inside an event.
};

/**
 * Decides whether an answer may be passed on as the upstream's own.
 * @param answer what was received. @return why not; empty if it may.
 */
std::string_view AnswerFault(const EndedAnswer& answer);

}  // namespace turmeric::entry
