#include "turmeric/http/responder.h"

#include <string>
#include <utility>

#include "turmeric/http/server_connection.h"
#include "turmeric/http/server_response.h"

namespace turmeric::http {

namespace {

std::vector<HeaderField> Fields(const QByteArray& content_type,
                                const Headers& headers) {
  std::vector<HeaderField> fields = {
      {"Content-Type", content_type.toStdString()}};
  for (const auto& [name, value] : headers) {
    fields.push_back({name.toStdString(), value.toStdString()});
  }
  return fields;
}

}  // namespace

Responder::Responder(ServerConnection& connection)
    : connection_(&connection),
      response_(std::make_unique<ServerResponse>(connection)) {}

Responder::Responder(Responder&&) noexcept = default;
Responder& Responder::operator=(Responder&&) noexcept = default;

Responder::~Responder() {
  if (response_ && response_->is_open()) Abort();
}

void Responder::WriteResponse(int status, const QByteArray& content_type,
                              const QByteArray& body, const Headers& headers) {
  response_->Respond({.status = status,
                      .headers = Fields(content_type, headers),
                      .body = body.toStdString()});
}

void Responder::StartStream(const QByteArray& content_type,
                            const Headers& headers) {
  constexpr int kOk = 200;
  response_->StartChunked(kOk, Fields(content_type, headers));
}

void Responder::WriteChunk(const QByteArray& bytes) {
  response_->WriteChunk({bytes.data(), static_cast<size_t>(bytes.size())});
}

void Responder::EndStream() { response_->EndChunked(); }

void Responder::Abort() { response_->Abort(); }

void Responder::CloseAfterSending() { response_->CloseUnfinished(); }

void Responder::CloseAfterResponse() {
  if (connection_) connection_->CloseWhenIdle();
}

void Responder::OnDisconnected(std::function<void()> callback) {
  if (connection_) connection_->set_on_disconnected(std::move(callback));
}

}  // namespace turmeric::http
