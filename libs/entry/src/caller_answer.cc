#include "turmeric/entry/caller_answer.h"

#include <cstddef>
#include <utility>

#include "turmeric/http/server_connection.h"

namespace turmeric::entry {

namespace {

/**
 * Number of bytes not yet sent to a slow caller at which reading from its
 * upstream pauses; reading resumes once all of them have been sent.
 */
constexpr size_t kPauseThresholdBytes = 64 * 1024;

}  // namespace

CallerAnswer::CallerAnswer(http::ServerConnection& connection,
                           std::function<void()> on_gone)
    : response_(connection), connection_id_(connection.id()) {
  connection.set_on_disconnected(std::move(on_gone));
}

void CallerAnswer::Respond(const http::ResponseMessage& message) {
  response_.Respond(message);
}

void CallerAnswer::BeginStream(const http::ResponseHead& head) {
  response_.StartChunked(head.status, head.headers);
}

void CallerAnswer::BeginParts(const http::ResponseHead& head,
                              std::optional<uint64_t> length) {
  if (!length) return BeginStream(head);
  response_.StartSized(head.status, head.headers, *length);
}

void CallerAnswer::Write(std::string_view part, const PauseReading& pause) {
  response_.WriteChunk(part);
  if (response_.unsent() <= kPauseThresholdBytes || paused_) return;
  paused_ = true;
  pause(true);
  response_.set_on_drained([this, pause] {
    paused_ = false;
    pause(false);
  });
}

void CallerAnswer::EndStream() { response_.EndChunked(); }

void CallerAnswer::Abort() { response_.Abort(); }

}  // namespace turmeric::entry
