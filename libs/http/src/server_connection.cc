#include "turmeric/http/server_connection.h"

#include <algorithm>
#include <array>
#include <charconv>
#include <utility>

#include "turmeric/http/tcp_socket.h"
#include "turmeric/utils/decision_log.h"
#include "turmeric/utils/log_interval.h"

namespace turmeric::http {

namespace {

constexpr int kBadRequest = 400;
constexpr int kRequestTimeout = 408;
constexpr int kPayloadTooLarge = 413;
constexpr int kHeaderTooLarge = 431;
/** Bytes that are read of a client while its last request is not answered. */
constexpr size_t kMaxReadAheadBytes = 4 * 1024;
/** Delay until an idle connection whose last response is not acknowledged is
 * checked again: a few round trips. */
constexpr std::chrono::milliseconds kCloseRetryDelay{50};

std::string HexSize(size_t size) {
  std::array<char, 2 * sizeof(size)> digits;
  const auto end =
      std::to_chars(digits.data(), digits.data() + digits.size(), size, 16);
  return {digits.data(), end.ptr};
}

int StatusFor(ParseStatus status) {
  if (status == ParseStatus::kHeaderTooLarge) return kHeaderTooLarge;
  if (status == ParseStatus::kBodyTooLarge) return kPayloadTooLarge;
  return kBadRequest;
}

/** @return a number that no earlier connection of this process has. */
uint64_t NextId() {
  static uint64_t last = 0;
  return ++last;
}

}  // namespace

ServerConnection::ServerConnection(int fd, LimitsSource limits,
                                   RequestHandler handler, QObject* parent)
    : QObject(parent),
      id_(NextId()),
      limits_source_(std::move(limits)),
      handler_(std::move(handler)),
      socket_(new TcpSocket(fd, this)),
      progress_(std::make_shared<ResponseProgress>(
          ResponseProgress{.state = ResponseState::kEnded})) {
  socket_->set_events(
      {.on_connected = {},
       .on_bytes = [this](std::string_view bytes) { OnBytes(bytes); },
       .on_end = [this](SocketEnd) { OnEnd(); },
       .on_drained =
           [this] {
             if (on_drained_) on_drained_();
             NotifyBuffered();
           }});
  timer_.setSingleShot(true);
  timer_.setTimerType(Qt::PreciseTimer);
  connect(&timer_, &QTimer::timeout, this, [this] {
    if (busy()) return;
    if (reading_) return Reject(kRequestTimeout);
    CloseIfIdle();
  });
  timer_.start(limits_source_().idle_timeout);
  idle_since_ = std::chrono::steady_clock::now();
}

ServerConnection::~ServerConnection() {
  // The callbacks may own responses, which use this connection when they are
  // destroyed.
  if (busy()) Abort();
  on_disconnected_ = nullptr;
  on_drained_ = nullptr;
}

size_t ServerConnection::unsent() const {
  if (flushing_) return flushing_->unsent();
  return socket_ == nullptr ? 0 : socket_->unsent();
}

uint64_t ServerConnection::sent() const {
  const TcpSocket* socket = flushing_ ? flushing_.data() : socket_;
  if (socket == nullptr) return 0;
  // The send buffer of the system accepts bytes again only once a large part of
  // it is free, so that bytes handed to it do not show how fast a slow client
  // reads.
  const size_t in_transit = socket->unacknowledged() - socket->unsent();
  return socket->sent() - std::min<uint64_t>(in_transit, socket->sent());
}

size_t ServerConnection::held() const {
  const size_t parsed =
      parser_ ? parser_->head_bytes() + parser_->body_bytes() : 0;
  return parsed + (unparsed_.empty() ? 0 : unparsed_.capacity());
}

size_t ServerConnection::expected() const {
  if (!parser_ || !parser_->head_done()) return unparsed_.size();
  // As the buffer of a body without a length grows.
  const size_t grown =
      std::min(2 * parser_->body_bytes(), limits_source_().max_body_bytes);
  return parser_->head_bytes() + parser_->announced_length().value_or(grown);
}

RequestMessage ServerConnection::TakeIncompleteHead() {
  if (!parser_ || !parser_->head_done()) return {};
  parser_->message().body = {};
  return std::move(parser_->message());
}

void ServerConnection::NotifyBuffered() {
  if (on_received_) on_received_();
  if (on_buffered_) on_buffered_();
}

void ServerConnection::OnBytes(std::string_view bytes) {
  unparsed_.append(bytes);
  if (!busy()) ParseNext();
  NotifyBuffered();
  if (busy()) LimitReadAhead();
}

void ServerConnection::LimitReadAhead() {
  if (socket_ == nullptr) return;
  // What is not read slows the client by TCP flow control. A few bytes are
  // read, as the end of the connection shows only when it is read.
  socket_->set_max_read(kMaxReadAheadBytes);
  if (unparsed_.size() >= kMaxReadAheadBytes) socket_->PauseReading(true);
}

void ServerConnection::ParseNext() {
  const ServerLimits limits = limits_source_();
  if (!reading_) {
    if (unparsed_.empty()) {
      timer_.start(limits.idle_timeout);
      return;
    }
    reading_ = true;
    reading_since_ = std::chrono::steady_clock::now();
    parser_ = std::make_unique<RequestParser>(limits.max_header_bytes,
                                              limits.max_body_bytes);
    timer_.start(limits.header_timeout);
  }
  const ParseOutcome outcome = parser_->Feed(unparsed_);
  unparsed_.erase(0, outcome.consumed);
  if (outcome.consumed > 0) unparsed_.shrink_to_fit();
  if (outcome.status == ParseStatus::kNeedMore) {
    // Guard: while a body is received, the idle timeout applies; the shorter
    // header timeout applies only to a head that is received slowly.
    if (parser_->head_done()) timer_.start(limits.idle_timeout);
    if (!parser_->head_done() && unparsed_.size() > limits.max_header_bytes) {
      return Reject(kHeaderTooLarge);
    }
    return;
  }
  if (outcome.status != ParseStatus::kDone) {
    return Reject(StatusFor(outcome.status));
  }
  timer_.stop();
  reading_ = false;
  receive_time_ = std::chrono::duration_cast<std::chrono::milliseconds>(
      std::chrono::steady_clock::now() - reading_since_);
  keep_alive_ = parser_->keep_alive();
  RequestMessage message = std::move(parser_->message());
  parser_.reset();
  BeginExchange(message.method == "HEAD");
  // The handler accounts for the request from here on.
  NotifyBuffered();
  if (socket_ != nullptr) handler_(*this, std::move(message));
}

void ServerConnection::BeginExchange(bool is_head_request) {
  progress_ = std::make_shared<ResponseProgress>();
  is_head_request_ = is_head_request;
  body_left_.reset();
}

bool ServerConnection::Admits(ResponseStep step, int status) {
  if (socket_ == nullptr) return false;
  const ResponseState before = progress_->state;
  const ResponseAction action = Advance(*progress_, step);
  if (action == ResponseAction::kPerform) return true;
  utils::DecisionLog(action == ResponseAction::kCut ? "response_cut"
                                                    : "late_write_ignored")
      .Add("caller_connection", id_)
      .Add("write", StepName(step))
      .Add("status", status)
      .Add("answer", StateName(before));
  if (action == ResponseAction::kCut) Abort();
  return false;
}

void ServerConnection::Reject(int status) {
  static utils::LogInterval log_interval;
  if (const auto requests =
          log_interval.Count(utils::LogInterval::Clock::now())) {
    utils::DecisionLog("request_rejected")
        .Add("requests", *requests)
        .Add("caller_connection", id_)
        .Add("status", status)
        .Add("held", held());
  }
  if (on_rejected_) on_rejected_(status);
  RefuseIncomplete({.status = status, .headers = {}, .body = {}});
}

void ServerConnection::RefuseIncomplete(const ResponseMessage& response) {
  if (!reading_) return;
  DropReceived();
  refused_at_ = std::chrono::steady_clock::now();
  max_discarded_ = limits_source_().max_body_bytes;
  BeginExchange(false);
  keep_alive_ = false;
  Respond(response);
}

void ServerConnection::DropReceived() {
  // The connection stays for as long as its client reads the response.
  reading_ = false;
  parser_.reset();
  unparsed_.clear();
  unparsed_.shrink_to_fit();
}

void ServerConnection::WriteHead(int status,
                                 std::span<const HeaderField> headers,
                                 std::string& out) {
  out.append("HTTP/1.1 ").append(std::to_string(status)).append(" ");
  out.append(ReasonPhrase(status)).append("\r\n");
  for (const HeaderField& h : headers) AppendHeader(out, h.name, h.value);
  if (!keep_alive_ || close_when_idle_) {
    AppendHeader(out, "Connection", "close");
  }
}

void ServerConnection::Respond(const ResponseMessage& response) {
  if (!Admits(ResponseStep::kWhole, response.status)) return;
  std::string out;
  out.reserve(512 + response.body.size());
  if (close_when_idle_) keep_alive_ = false;
  WriteHead(response.status, response.headers, out);
  AppendHeader(out, "Content-Length", std::to_string(response.body.size()));
  out.append("\r\n");
  if (!is_head_request_) out.append(response.body);
  socket_->Write(out);
  FinishResponse();
}

void ServerConnection::StartSized(int status,
                                  std::span<const HeaderField> headers,
                                  uint64_t length) {
  if (!Admits(ResponseStep::kBegin, status)) return;
  std::string out;
  if (close_when_idle_) keep_alive_ = false;
  WriteHead(status, headers, out);
  AppendHeader(out, "Content-Length", std::to_string(length));
  out.append("\r\n");
  body_left_ = length;
  socket_->Write(out);
}

void ServerConnection::StartChunked(int status,
                                    std::span<const HeaderField> headers) {
  if (!Admits(ResponseStep::kBegin, status)) return;
  std::string out;
  if (close_when_idle_) keep_alive_ = false;
  WriteHead(status, headers, out);
  AppendHeader(out, "Transfer-Encoding", "chunked");
  out.append("\r\n");
  body_left_.reset();
  socket_->Write(out);
}

void ServerConnection::WriteChunk(std::string_view bytes) {
  if (bytes.empty() || !Admits(ResponseStep::kPart, 0)) return;
  if (is_head_request_) return;
  if (body_left_) {
    if (bytes.size() > *body_left_) return CutOff();
    *body_left_ -= bytes.size();
    socket_->Write(bytes);
    return NotifyBuffered();
  }
  std::string out = HexSize(bytes.size());
  out.append("\r\n").append(bytes).append("\r\n");
  socket_->Write(out);
  NotifyBuffered();
}

void ServerConnection::EndChunked() {
  const auto missing = std::exchange(body_left_, std::nullopt);
  if (missing.value_or(0) > 0 && !is_head_request_) return Abort();
  if (!Admits(ResponseStep::kEnd, 0)) return;
  if (!missing && !is_head_request_) socket_->Write("0\r\n\r\n");
  FinishResponse();
}

void ServerConnection::FinishResponse() {
  on_disconnected_ = nullptr;
  on_drained_ = nullptr;
  NotifyBuffered();
  socket_->set_max_read(std::nullopt);
  socket_->PauseReading(false);
  if (!keep_alive_) return Close();
  // The next request is parsed from the event loop, so that a handler that
  // responds at once does not recurse.
  timer_.start(limits_source_().idle_timeout);
  idle_since_ = std::chrono::steady_clock::now();
  if (!unparsed_.empty()) {
    QTimer::singleShot(0, this, [this] {
      if (busy() || socket_ == nullptr) return;
      ParseNext();
      NotifyBuffered();
      if (busy()) LimitReadAhead();
    });
  }
}

void ServerConnection::NotifyDisconnected() {
  if (auto callback = std::exchange(on_disconnected_, nullptr)) callback();
}

void ServerConnection::OnEnd() {
  socket_ = nullptr;
  reading_ = false;
  timer_.stop();
  NotifyDisconnected();
  deleteLater();
}

void ServerConnection::Close() {
  if (socket_ == nullptr) return;
  timer_.stop();
  // Guard: a planned stop waits until all connection objects are destroyed.
  // This object stays until the socket has sent the response to the peer.
  connect(socket_, &QObject::destroyed, this, &QObject::deleteLater);
  flushing_ = socket_;
  std::exchange(socket_, nullptr)->CloseAfterFlush(max_discarded_);
}

std::optional<std::chrono::steady_clock::time_point>
ServerConnection::idle_since() const {
  if (socket_ == nullptr || busy() || reading_ || !unparsed_.empty()) {
    return std::nullopt;
  }
  return idle_since_;
}

std::optional<std::chrono::steady_clock::time_point>
ServerConnection::refused_at() const {
  return flushing_ ? refused_at_ : std::nullopt;
}

bool ServerConnection::CloseIfIdle() {
  // Guard: the next request may be in transit. A request that has already been
  // received is read and handled. For a request received later, the closed
  // socket resets the connection, so that the caller can infer that the request
  // was not run. A request read after the close would get no response.
  if (socket_ != nullptr) socket_->ReadNow();
  if (!idle_since()) return false;
  // Guard: a reset would discard the part of the last response that the caller
  // has not received yet.
  if (socket_->unacknowledged() > 0) {
    timer_.start(kCloseRetryDelay);
    return false;
  }
  timer_.stop();
  std::exchange(socket_, nullptr)->CloseNow();
  deleteLater();
  return true;
}

void ServerConnection::Abort() {
  if (socket_ == nullptr) return;
  Advance(*progress_, ResponseStep::kAbort);
  timer_.stop();
  on_disconnected_ = nullptr;
  std::exchange(socket_, nullptr)->Abort();
  deleteLater();
}

void ServerConnection::CloseUnfinished() {
  if (socket_ == nullptr) return;
  Advance(*progress_, ResponseStep::kAbort);
  on_disconnected_ = nullptr;
  Close();
}

void ServerConnection::CutOff() {
  timer_.stop();
  refused_at_.reset();
  if (flushing_) {
    flushing_->Abort();
    flushing_->deleteLater();
    return;
  }
  if (socket_ == nullptr) return;
  Advance(*progress_, ResponseStep::kAbort);
  socket_->Abort();
  OnEnd();
}

void ServerConnection::CloseWhenIdle() {
  close_when_idle_ = true;
  if (!busy() && !reading_ && unparsed_.empty()) CloseIfIdle();
}

}  // namespace turmeric::http
