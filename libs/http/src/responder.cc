#include "turmeric/http/responder.h"

#include <QHttpServerResponder>
#include <QTcpSocket>

#include "details/exchange.h"
#include "details/response_queue.h"
#include "turmeric/http/sse.h"

namespace turmeric::http {

using details::Exchange;
using details::ResponseQueue;

namespace {

void WriteHead(QHttpServerResponder& out, int status,
               const QByteArray& content_type, const Headers& headers) {
  out.writeStatusLine(static_cast<QHttpServerResponder::StatusCode>(status));
  out.writeHeader("Content-Type", content_type);
  for (const auto& [name, value] : headers) out.writeHeader(name, value);
}

void FinishExchange(Exchange& exchange) {
  exchange.Finish();
  if (QTcpSocket* socket = exchange.socket()) {
    ResponseQueue::ForConnection(socket).Advance();
  }
}

}  // namespace

Responder::Responder(QHttpServerResponder&& responder, QTcpSocket* socket)
    : exchange_(std::make_shared<Exchange>(std::move(responder), socket)) {
  ResponseQueue::ForConnection(socket).Append(exchange_);
}

Responder::Responder(Responder&&) noexcept = default;
Responder& Responder::operator=(Responder&&) noexcept = default;

Responder::~Responder() {
  if (exchange_ && !exchange_->finished()) Abort();
}

void Responder::WriteResponse(int status, const QByteArray& content_type,
                              const QByteArray& body, const Headers& headers) {
  exchange_->WriteOrDefer(
      [=, closes = close_after_response_](QHttpServerResponder& out) {
        WriteHead(out, status, content_type, headers);
        if (closes) out.writeHeader("Connection", "close");
        out.writeHeader("Content-Length", QByteArray::number(body.size()));
        out.writeBody(body);
      });
  if (close_after_response_) {
    CloseAfterSending();
  } else {
    FinishExchange(*exchange_);
  }
}

void Responder::StartStream(const QByteArray& content_type,
                            const Headers& headers) {
  constexpr int kOk = 200;
  exchange_->WriteOrDefer([=](QHttpServerResponder& out) {
    WriteHead(out, kOk, content_type, headers);
    out.writeHeader("Transfer-Encoding", "chunked");
    out.writeBody("");
  });
}

void Responder::WriteChunk(const QByteArray& bytes) {
  exchange_->WriteOrDefer(
      [=](QHttpServerResponder& out) { out.writeBody(HttpChunk(bytes)); });
}

void Responder::EndStream() {
  exchange_->WriteOrDefer(
      [](QHttpServerResponder& out) { out.writeBody("0\r\n\r\n"); });
  FinishExchange(*exchange_);
}

void Responder::Abort() {
  exchange_->Finish();
  if (QTcpSocket* socket = exchange_->socket()) socket->abort();
}

void Responder::CloseAfterSending() {
  exchange_->WriteOrDefer(
      [socket = exchange_->socket()](QHttpServerResponder&) {
        socket->disconnectFromHost();
      });
  exchange_->Finish();
}

bool Responder::disconnected() const { return exchange_->socket() == nullptr; }

void Responder::OnDisconnected(std::function<void()> callback) {
  exchange_->set_on_disconnected(std::move(callback));
}

}  // namespace turmeric::http
