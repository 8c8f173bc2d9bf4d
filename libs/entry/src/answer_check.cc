#include "turmeric/entry/answer_check.h"

#include <algorithm>
#include <array>

namespace turmeric::entry {

namespace {

constexpr int kFirstRedirect = 300;

/** @return true for statuses that promise the request has not run. */
bool SaysNotRun(int status) {
  constexpr std::array<int, 4> kPromises = {408, 421, 429, 503};
  return std::ranges::count(kPromises, status) > 0;
}

}  // namespace

std::string_view AnswerFault(const EndedAnswer& answer) {
  const AnswerInfo& info = answer.info;
  const bool own = info.sealed && !info.attempt_id.empty() && !info.encoded;
  // Guard: an answer that does not prove to be the upstream's own must not
  // look like a success, nor like the promise that nothing ran.
  const bool needs_receipt =
      answer.status < kFirstRedirect || SaysNotRun(answer.status);
  if (needs_receipt && !own) return "answer_without_receipt";
  // Guard: an upstream that dies may end its stream in order but inside an
  // event; passed on as complete, the caller would miss the rest.
  if (answer.is_event_stream && answer.inside_event) {
    return "stream_cut_in_event";
  }
  return {};
}

}  // namespace turmeric::entry
