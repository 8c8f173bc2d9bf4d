#include "turmeric/http/client_connection.h"

#include <algorithm>
#include <charconv>
#include <utility>

namespace turmeric::http {

namespace {

/** Keep-alive timeout assumed if the server states none. Common servers close
 * idle connections after 5 s or more. */
constexpr std::chrono::milliseconds kDefaultKeepAlive{3000};
/** Most informational (1xx) and foreign responses that are skipped before the
 * response to a request. Servers send one or two. */
constexpr int kMaxSkippedResponses = 16;
/** Ids of requests that a connection remembers. A second response to an earlier
 * request would have to arrive this many exchanges late. */
constexpr size_t kMaxCarriedIds = 64;

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

/** @return a number that no earlier connection of this process has. */
uint64_t NextId() {
  static uint64_t last = 0;
  return ++last;
}

}  // namespace

ClientConnection::ClientConnection(const Endpoint& peer,
                                   std::chrono::milliseconds connect_timeout,
                                   QObject* parent)
    : QObject(parent),
      id_(NextId()),
      socket_(new TcpSocket(peer, connect_timeout, this)),
      keep_alive_(kDefaultKeepAlive) {
  AttachSocket();
}

ClientConnection::ClientConnection(const TunnelRoute& route,
                                   std::chrono::milliseconds connect_timeout,
                                   QObject* parent)
    : QObject(parent),
      id_(NextId()),
      socket_(new TcpSocket(route, connect_timeout, this)),
      keep_alive_(kDefaultKeepAlive) {
  AttachSocket();
}

void ClientConnection::AttachSocket() {
  socket_->set_events(
      {.on_connected = {},
       .on_bytes = [this](std::string_view bytes) { OnBytes(bytes); },
       .on_end = [this](SocketEnd end) { OnEnd(end); },
       .on_drained = {}});
}

ClientConnection::~ClientConnection() = default;

void ClientConnection::ResetParser() {
  parser_ = std::make_unique<ResponseParser>(ResponseSink{
      .on_head = [this](ResponseHead&& head) { OnHead(std::move(head)); },
      .on_body =
          [this](std::string_view bytes) {
            if (!skipping_response_ && events_.on_body) events_.on_body(bytes);
          }});
  if (is_head_request_) parser_->ExpectNoBody();
}

void ClientConnection::Send(std::string_view bytes, ExchangeEvents events,
                            ResponseBinding binding) {
  events_ = std::move(events);
  binding_ = std::move(binding);
  if (!binding_.id.empty()) {
    carried_ids_.push_back(binding_.id);
    if (carried_ids_.size() > kMaxCarriedIds) carried_ids_.pop_front();
  }
  busy_ = true;
  ++exchanges_;
  is_head_request_ = bytes.starts_with("HEAD ");
  skipped_responses_ = 0;
  skipped_foreign_ = false;
  unattributed_ = false;
  ResetParser();
  socket_->Write(bytes);
}

void ClientConnection::OnBytes(std::string_view bytes) {
  if (!busy_) {
    // Guard: bytes on an idle connection belong to no request (a duplicate or
    // late response). If they were kept, they would be parsed as the response
    // to the next request, so the connection is aborted.
    broken_ = true;
    unrequested_bytes_ += bytes.size();
    socket_->Abort();
    if (auto callback = std::exchange(on_idle_end_, nullptr)) callback();
    return;
  }
  unparsed_.append(bytes);
  ParseReceived();
}

void ClientConnection::ParseReceived() {
  while (busy_ && !unparsed_.empty()) {
    const ParseOutcome outcome = parser_->Feed(unparsed_);
    // A callback has cancelled the exchange.
    if (!busy_) return;
    if (unattributed_) return Fail(ExchangeFailure::kUnattributed);
    unparsed_.erase(0, outcome.consumed);
    if (outcome.status == ParseStatus::kNeedMore) return;
    if (outcome.status != ParseStatus::kDone) {
      return Fail(ExchangeFailure::kMalformed);
    }
    if (skipping_response_ && ++skipped_responses_ > kMaxSkippedResponses) {
      return Fail(ExchangeFailure::kMalformed);
    }
    OnResponseComplete();
  }
}

void ClientConnection::OnHead(ResponseHead&& head) {
  constexpr int kFirstFinalStatus = 200;
  skipping_response_ = head.status < kFirstFinalStatus;
  if (skipping_response_) return;
  if (!IsBound(head)) {
    skipping_response_ = true;
    broken_ = true;  // Further foreign responses may follow.
    return;
  }
  keep_alive_ = KeepAliveTimeout(head);
  if (events_.on_head && !events_.on_head(head)) {
    skipping_response_ = true;
    broken_ = true;
  }
}

bool ClientConnection::IsBound(const ResponseHead& head) {
  if (binding_.id.empty()) return true;
  const std::string id = binding_.id_of(head);
  if (id == binding_.id) return true;
  if (id.empty()) {
    broken_ = true;
    // Guard: a second response to an earlier request of the connection would be
    // taken for the response to this one.
    unattributed_ = exchanges_ > 1 || skipped_foreign_;
    return !unattributed_;
  }
  skipped_foreign_ = true;
  if (binding_.on_foreign) binding_.on_foreign(id, head);
  return false;
}

void ClientConnection::OnResponseComplete() {
  if (skipping_response_) {
    skipping_response_ = false;
    ResetParser();
    return;
  }
  busy_ = false;
  used_ = true;
  // Guard: the receiver may have paused reading during the last bytes. The next
  // response on the connection would then never be read.
  socket_->PauseReading(false);
  idle_since_ = std::chrono::steady_clock::now();
  unrequested_bytes_ += unparsed_.size();
  if (!parser_->keep_alive() || !unparsed_.empty() || socket_->unsent() > 0 ||
      is_head_request_) {
    broken_ = true;
  }
  if (broken_) socket_->Abort();
  const auto callback = std::exchange(events_, {}).on_end;
  if (callback) callback();
}

void ClientConnection::OnEnd(SocketEnd end) {
  broken_ = true;
  was_reset_ = end == SocketEnd::kReset;
  if (!busy_) {
    if (auto callback = std::exchange(on_idle_end_, nullptr)) callback();
    return;
  }
  if (end == SocketEnd::kConnectFailed) return Fail(ExchangeFailure::kNotSent);
  if (end == SocketEnd::kOrderly && !skipping_response_ && parser_->FeedEnd()) {
    return OnResponseComplete();
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

bool ClientConnection::awaits_response() const {
  return busy_ && unparsed_.empty() && !parser_->started();
}

void ClientConnection::FailUnsent() {
  if (busy_ && !connected()) Fail(ExchangeFailure::kNotSent);
}

void ClientConnection::EndIdle() {
  if (busy_) return;
  broken_ = true;
  socket_->Abort();
  if (auto callback = std::exchange(on_idle_end_, nullptr)) callback();
}

void ClientConnection::Cancel() {
  broken_ = true;
  busy_ = false;
  on_idle_end_ = nullptr;
  socket_->Abort();
  // Guard: the callbacks may hold the last reference to the object that calls
  // Cancel, and its destructor calls Cancel again. They are moved out of
  // events_ before they are destroyed.
  const ExchangeEvents dropped = std::exchange(events_, {});
}

void ClientConnection::PauseReading(bool paused) {
  socket_->PauseReading(paused);
}

bool ClientConnection::reusable() const {
  return !broken_ && !busy_ && socket_->open();
}

bool ClientConnection::ConfirmIdle() {
  if (reusable()) socket_->ReadNow();
  return reusable();
}

bool ClientConnection::HasCarried(std::string_view id) const {
  return std::ranges::find(carried_ids_, id) != carried_ids_.end();
}

}  // namespace turmeric::http
