#include "turmeric/http/response_progress.h"

namespace turmeric::http {

namespace {

ResponseAction AdvanceUnwritten(ResponseProgress& progress, ResponseStep step) {
  switch (step) {
    case ResponseStep::kWhole:
      progress.state = ResponseState::kWhole;
      return ResponseAction::kPerform;
    case ResponseStep::kBegin:
      progress.state = ResponseState::kBegun;
      progress.has_begun = true;
      return ResponseAction::kPerform;
    case ResponseStep::kAbort:
      progress.state = ResponseState::kAborted;
      return ResponseAction::kPerform;
    case ResponseStep::kPart:
    case ResponseStep::kEnd:
      break;
  }
  return ResponseAction::kIgnore;
}

ResponseAction AdvanceBegun(ResponseProgress& progress, ResponseStep step) {
  switch (step) {
    case ResponseStep::kPart:
      return ResponseAction::kPerform;
    case ResponseStep::kEnd:
      progress.state = ResponseState::kEnded;
      return ResponseAction::kPerform;
    case ResponseStep::kAbort:
      progress.state = ResponseState::kAborted;
      return ResponseAction::kPerform;
    case ResponseStep::kWhole:
    case ResponseStep::kBegin:
      break;
  }
  progress.state = ResponseState::kAborted;
  return ResponseAction::kCut;
}

}  // namespace

ResponseAction Advance(ResponseProgress& progress, ResponseStep step) {
  if (!IsOpen(progress)) return ResponseAction::kIgnore;
  return progress.state == ResponseState::kNone
             ? AdvanceUnwritten(progress, step)
             : AdvanceBegun(progress, step);
}

bool IsOpen(const ResponseProgress& progress) {
  return progress.state == ResponseState::kNone ||
         progress.state == ResponseState::kBegun;
}

std::string_view StateName(ResponseState state) {
  switch (state) {
    case ResponseState::kNone:
      return "none";
    case ResponseState::kWhole:
      return "whole";
    case ResponseState::kBegun:
      return "begun";
    case ResponseState::kEnded:
      return "ended";
    case ResponseState::kAborted:
      break;
  }
  return "aborted";
}

std::string_view StepName(ResponseStep step) {
  switch (step) {
    case ResponseStep::kWhole:
      return "whole";
    case ResponseStep::kBegin:
      return "head";
    case ResponseStep::kPart:
      return "part";
    case ResponseStep::kEnd:
      return "end";
    case ResponseStep::kAbort:
      break;
  }
  return "abort";
}

}  // namespace turmeric::http
