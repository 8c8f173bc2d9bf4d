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
  bool ends_with_connection = false;  ///< Has neither a length nor chunks.
  bool has_event = false;             ///< The stream's body has a whole event.
};

/**
 * Decides whether an answer may be forwarded to the caller as the answer of the
 * upstream that the request was sent to.
 * @param answer the answer received.
 * @return the reason why the answer must not be forwarded; empty if it may be
 *     forwarded.
 */
std::string_view AnswerFault(const CompletedAnswer& answer);

/**
 * Decides whether an answer says nothing about a state that upstreams state in
 * their answers, neither that it holds nor that it has ended.
 * @param status status of the answer. @param info decoded from its head.
 * @param stated true if the answer states the state.
 * @return true if another process has answered, or if the statement is absent
 *     from an answer of a failing upstream, which may omit it.
 */
bool StatesNothing(int status, const AnswerInfo& info, bool stated);

}  // namespace turmeric::entry
