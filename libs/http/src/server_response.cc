#include "turmeric/http/server_response.h"

#include <utility>

#include "turmeric/http/server_connection.h"
#include "turmeric/utils/decision_log.h"

namespace turmeric::http {

ServerResponse::ServerResponse(ServerConnection& connection)
    : connection_(&connection), progress_(connection.progress()) {}

ServerResponse::~ServerResponse() = default;

ServerConnection* ServerResponse::Current() const {
  const bool serves = connection_ && connection_->progress() == progress_;
  return serves ? connection_.data() : nullptr;
}

ServerConnection* ServerResponse::ConnectionFor(ResponseStep step) const {
  ServerConnection* const current = Current();
  if (current != nullptr && IsOpen(*progress_)) return current;
  if (connection_) {
    utils::DecisionLog("late_write_ignored")
        .Add("caller_connection", connection_->id())
        .Add("write", StepName(step))
        .Add("answer", StateName(progress_->state));
  }
  return nullptr;
}

size_t ServerResponse::unsent() const {
  const ServerConnection* const connection = Current();
  return connection == nullptr ? 0 : connection->unsent();
}

void ServerResponse::Respond(const ResponseMessage& response) {
  if (auto* connection = ConnectionFor(ResponseStep::kWhole)) {
    connection->Respond(response);
  }
}

void ServerResponse::StartChunked(int status,
                                  std::span<const HeaderField> headers) {
  if (auto* connection = ConnectionFor(ResponseStep::kBegin)) {
    connection->StartChunked(status, headers);
  }
}

void ServerResponse::StartSized(int status,
                                std::span<const HeaderField> headers,
                                uint64_t length) {
  if (auto* connection = ConnectionFor(ResponseStep::kBegin)) {
    connection->StartSized(status, headers, length);
  }
}

void ServerResponse::WriteChunk(std::string_view bytes) {
  if (auto* connection = ConnectionFor(ResponseStep::kPart)) {
    connection->WriteChunk(bytes);
  }
}

void ServerResponse::EndChunked() {
  if (auto* connection = ConnectionFor(ResponseStep::kEnd)) {
    connection->EndChunked();
  }
}

void ServerResponse::Abort() {
  if (auto* connection = ConnectionFor(ResponseStep::kAbort)) {
    connection->Abort();
  }
}

void ServerResponse::CloseUnfinished() {
  if (auto* connection = ConnectionFor(ResponseStep::kAbort)) {
    connection->CloseUnfinished();
  }
}

void ServerResponse::set_on_drained(std::function<void()> callback) {
  if (auto* connection = Current()) {
    connection->set_on_drained(std::move(callback));
  }
}

}  // namespace turmeric::http
