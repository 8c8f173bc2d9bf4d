#pragma once

#include <string_view>

namespace turmeric::http {

/** How far the response to one request has come. */
enum class ResponseState {
  kNone,     ///< Nothing has been written.
  kWhole,    ///< Written as a whole.
  kBegun,    ///< The head has been written; the body is written in parts.
  kEnded,    ///< The last part has been written.
  kAborted,  ///< The connection was reset before the end.
};

/** What a writer asks for. */
enum class ResponseStep { kWhole, kBegin, kPart, kEnd, kAbort };

/** What the connection does for a step. */
enum class ResponseAction {
  kPerform,  ///< The step is due.
  kCut,      ///< A second head: the connection is reset instead.
  kIgnore,   ///< The step is not due; nothing is written.
};

/** Progress of the response to one request. */
struct ResponseProgress {
  ResponseState state = ResponseState::kNone;
  bool has_begun = false;  ///< It is, or was, written in parts.
};

/** Decides on a step and records it.
 * @param progress of the response. @param step what is asked for.
 * @return what the connection must do. */
ResponseAction Advance(ResponseProgress& progress, ResponseStep step);

/** @return true until the response has ended or is aborted. */
bool IsOpen(const ResponseProgress& progress);

/** @param state of a response. @return its name in the log. */
std::string_view StateName(ResponseState state);

/** @param step of a response. @return its name in the log. */
std::string_view StepName(ResponseStep step);

}  // namespace turmeric::http
