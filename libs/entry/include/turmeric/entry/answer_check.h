#pragma once

#include <string_view>

#include "turmeric/entry/wire_format.h"

namespace turmeric::entry {

/** An answer that has been received completely, as framed by HTTP. */
struct CompletedAnswer {
  int status = 0;
  const AnswerInfo& info;
  bool is_event_stream = false;
  bool inside_event = false;  ///< The stream's body ends inside an event.
};

/**
 * Decides whether an answer may be forwarded to the caller as the answer of the
 * upstream that the request was sent to.
 * @param answer the answer received.
 * @return the reason why the answer must not be forwarded; empty if it may be
 *     forwarded.
 */
std::string_view AnswerFault(const CompletedAnswer& answer);

}  // namespace turmeric::entry
