#include "turmeric/http/client_connection.h"

#include <charconv>
#include <utility>

namespace turmeric::http {

namespace {

/** Idle time trusted where the server states none; common servers close
 * after five seconds and more. */
constexpr std::chrono::milliseconds kDefaultKeepAlive{3000};

std::chrono::milliseconds KeepAliveTimeout(const ResponseHead& head) {
  constexpr std::string_view kParameter = "timeout=";
  const std::string_view value = HeaderValue(head.headers, "Keep-Alive");
  const size_t at = value.find(kParameter);
  if (at == std::string_view::npos) return kDefaultKeepAlive;
  int seconds = 0;
  const char* const begin = value.data() + at + kParameter.size();
  std::from_chars(begin, value.data() + value.size(), seconds);
  return std::chrono::seconds(seconds);
}

}  // namespace

ClientConnection::ClientConnection(const Endpoint& peer,
                                   std::chrono::milliseconds connect_timeout,
                                   QObject* parent)
    : QObject(parent),
      socket_(new TcpSocket(peer, connect_timeout, this)),
      keep_alive_(kDefaultKeepAlive) {
  socket_->set_events(
      {.on_connected = {},
       .on_bytes = [this](std::string_view bytes) { OnBytes(bytes); },
       .on_end = [this](SocketEnd end) { OnEnd(end); },
       .on_drained = {}});
}

ClientConnection::~ClientConnection() = default;

void ClientConnection::NewParser() {
  parser_ = std::make_unique<ResponseParser>(ResponseSink{
      .on_head = [this](ResponseHead&& head) { OnHead(std::move(head)); },
      .on_body =
          [this](std::string_view bytes) {
            if (!skipping_ && events_.on_body) events_.on_body(bytes);
          }});
  if (answers_head_) parser_->ExpectNoBody();
}

void ClientConnection::Send(std::string_view bytes, ExchangeEvents events) {
  events_ = std::move(events);
  busy_ = true;
  answers_head_ = bytes.starts_with("HEAD ");
  NewParser();
  socket_->Write(bytes);
}

void ClientConnection::OnBytes(std::string_view bytes) {
  if (!busy_) {
    // Guard: bytes on an idle connection belong to no request (an answer
    // sent twice, or late). Kept, they would be read as the answer to the
    // next request; so the connection ends here.
    broken_ = true;
    socket_->Abort();
    if (auto callback = std::exchange(on_idle_end_, nullptr)) callback();
    return;
  }
  pending_.append(bytes);
  ParsePending();
}

void ClientConnection::ParsePending() {
  while (busy_ && !pending_.empty()) {
    const ParseOutcome outcome = parser_->Feed(pending_);
    // Cancelled by a callback.
    if (!busy_) return;
    pending_.erase(0, outcome.consumed);
    if (outcome.status == ParseStatus::kNeedMore) return;
    if (outcome.status != ParseStatus::kDone) {
      return Fail(ExchangeFailure::kMalformed);
    }
    OnDone();
  }
}

void ClientConnection::OnHead(ResponseHead&& head) {
  constexpr int kFirstFinalStatus = 200;
  skipping_ = head.status < kFirstFinalStatus;
  if (skipping_) return;
  keep_alive_ = KeepAliveTimeout(head);
  if (events_.on_head && !events_.on_head(head)) {
    skipping_ = true;
    broken_ = true;  // What else lies on the connection is unknown.
  }
}

void ClientConnection::OnDone() {
  if (skipping_) {
    skipping_ = false;
    NewParser();
    return;
  }
  busy_ = false;
  used_ = true;
  idle_since_ = std::chrono::steady_clock::now();
  if (!parser_->keep_alive() || !pending_.empty() || socket_->unsent() > 0) {
    broken_ = true;
  }
  if (broken_) socket_->Abort();
  const auto callback = std::exchange(events_, {}).on_end;
  if (callback) callback();
}

void ClientConnection::OnEnd(SocketEnd end) {
  broken_ = true;
  if (!busy_) {
    if (auto callback = std::exchange(on_idle_end_, nullptr)) callback();
    return;
  }
  if (end == SocketEnd::kConnectFailed) return Fail(ExchangeFailure::kNotSent);
  if (end == SocketEnd::kOrderly && !skipping_ && parser_->FeedEnd()) {
    return OnDone();
  }
  Fail(parser_->started() ? ExchangeFailure::kTruncated
                          : ExchangeFailure::kNoAnswer);
}

void ClientConnection::Fail(ExchangeFailure failure) {
  broken_ = true;
  busy_ = false;
  socket_->Abort();
  const auto callback = std::exchange(events_, {}).on_failure;
  if (callback) callback(failure);
}

void ClientConnection::Cancel() {
  broken_ = true;
  busy_ = false;
  on_idle_end_ = nullptr;
  socket_->Abort();
  // Guard: the events may hold the last reference to the exchange that
  // cancels here, and its end calls Cancel again. They are out of the way
  // before they are destroyed.
  const ExchangeEvents dropped = std::exchange(events_, {});
}

void ClientConnection::PauseReading(bool paused) {
  socket_->PauseReading(paused);
}

bool ClientConnection::reusable() const {
  return !broken_ && !busy_ && socket_->open();
}

}  // namespace turmeric::http
