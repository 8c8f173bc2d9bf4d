#include "turmeric/entry/answer_check.h"

#include <algorithm>
#include <array>

namespace turmeric::entry {

namespace {

constexpr int kFirstRedirect = 300;
constexpr int kMisdirected = 421;
constexpr int kServerError = 500;

/** @return true for statuses by which callers conclude "not run". */
bool MeansNotRun(int status) {
  constexpr std::array<int, 4> kNotRunStatuses = {408, kMisdirected, 429, 503};
  return std::ranges::count(kNotRunStatuses, status) > 0;
}

}  // namespace

std::string_view AnswerFault(const CompletedAnswer& answer) {
  const AnswerInfo& info = answer.info;
  const bool is_from_upstream =
      info.has_receipt && !info.attempt_id.empty() && !info.encoded;
  // Guard: an answer without the upstream's receipt may come from another
  // process. It must not be forwarded as a success or as "not run".
  const bool needs_receipt =
      answer.status < kFirstRedirect || MeansNotRun(answer.status);
  if (needs_receipt && !is_from_upstream) return "answer_without_receipt";
  // Guard: an upstream that crashes may end its body correctly but inside an
  // event. If the stream were forwarded as complete, the caller could not
  // detect that its end is missing.
  if (answer.is_event_stream && answer.inside_event) {
    return "stream_cut_in_event";
  }
  // An upstream that crashes before its first event may end its body correctly,
  // too.
  if (answer.is_event_stream && answer.ends_with_connection &&
      !answer.has_event) {
    return "stream_without_event";
  }
  return {};
}

bool StatesNothing(int status, const AnswerInfo& info, bool stated) {
  if (status == kMisdirected) return true;
  return !stated && (info.not_run || status >= kServerError);
}

}  // namespace turmeric::entry
