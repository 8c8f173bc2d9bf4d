#include "turmeric/http/router_server.h"

#include <algorithm>
#include <numeric>
#include <utility>

#include "turmeric/http/connection_limit.h"
#include "turmeric/http/http_request.h"
#include "turmeric/utils/decision_log.h"
#include "turmeric/utils/descriptor_limit.h"

namespace turmeric::http {

namespace {

constexpr int kNotFound = 404;
constexpr int kUnavailable = 503;

/** Timeout of idle connections and of bodies that do not go on. Callers keep
 * connections open between requests. */
constexpr std::chrono::minutes kIdleTimeout{1};

}  // namespace

RouterServer::RouterServer(const RouterLimits& limits)
    : limits_{.max_body_bytes = limits.max_body_bytes,
              .idle_timeout = kIdleTimeout},
      account_(limits.request_bytes),
      refusal_([](const RequestMessage&) {
        return ResponseMessage{.status = kUnavailable,
                               .headers = {{"Retry-After", "1"}},
                               .body = {}};
      }),
      intake_(
          account_, limits.partial_bytes,
          {.refusal =
               [this](const RequestMessage& head) { return refusal_(head); },
           .on_refused =
               [this](std::string_view reason) {
                 if (on_refused_) on_refused_(reason);
               }}),
      listener_([this](int fd) { Accept(fd); }),
      max_connections_(std::min(utils::DescriptorLimit() / 2,
                                limits.connection_bytes / kConnectionBytes)) {
  listener_.set_takes([this] { return Takes(); });
}

bool RouterServer::Takes() {
  if (open_connections_ < max_connections_) return true;
  const auto now = utils::LogInterval::Clock::now();
  const ClosedConnection closed = CloseForNew(Connections(), now);
  if (closed.connection != nullptr) {
    if (on_closed_for_new_) on_closed_for_new_();
    LogClosedForNew(closed, open_connections_, close_log_, now);
    return true;
  }
  if (const auto reset = log_interval_.Count(now)) {
    utils::DecisionLog("connections_left_unread")
        .Add("connections", *reset)
        .Add("reason", "descriptors")
        .Add("open_callers", open_connections_)
        .Add("max_callers", max_connections_);
  }
  return false;
}

RouterServer::~RouterServer() {
  // They are charged to the account until they are destroyed.
  qDeleteAll(QObjectList(children()));
}

void RouterServer::Route(std::string method, std::string prefix,
                         Handler handler) {
  routes_.push_back({std::move(method), std::move(prefix), std::move(handler)});
  std::ranges::stable_sort(routes_, std::greater<>(),
                           [](const Entry& e) { return e.prefix.size(); });
}

void RouterServer::set_refusal(
    std::function<ResponseMessage(const RequestMessage& head)> refusal,
    std::function<void(std::string_view reason)> on_refused) {
  refusal_ = std::move(refusal);
  on_refused_ = std::move(on_refused);
}

uint16_t RouterServer::Listen(const Endpoint& address) {
  return listener_.Listen(address) ? listener_.port() : 0;
}

void RouterServer::CloseListener() {
  listener_.AcceptWaiting();
  listener_.Close();
}

void RouterServer::AbortConnections() {
  listener_.Close();
  for (ServerConnection* connection : Connections()) connection->CutOff();
}

size_t RouterServer::unsent() const {
  const auto connections = Connections();
  return std::transform_reduce(
      connections.begin(), connections.end(), size_t{0}, std::plus<>(),
      [](const ServerConnection* c) { return c->unsent(); });
}

std::vector<ServerConnection*> RouterServer::Connections() const {
  std::vector<ServerConnection*> connections;
  for (QObject* child : children()) {
    auto* connection = dynamic_cast<ServerConnection*>(child);
    if (connection != nullptr) connections.push_back(connection);
  }
  return connections;
}

void RouterServer::Accept(int fd) {
  auto* connection = new ServerConnection(
      fd, [this] { return limits_; },
      [this](ServerConnection& c, RequestMessage&& message) {
        Handle(c, std::move(message));
      },
      this);
  connection->set_on_rejected([this](int status) {
    if (on_rejected_) on_rejected_(status);
  });
  ++open_connections_;
  connect(connection, &QObject::destroyed, this,
          [this] { --open_connections_; });
  intake_.Add(*connection);
}

void RouterServer::Handle(ServerConnection& connection,
                          RequestMessage&& message) {
  const HttpRequest request(std::move(message));
  Responder responder(connection);
  const std::string path = request.url().path().toStdString();
  const auto it = std::ranges::find_if(routes_, [&](const Entry& e) {
    return e.method == request.method() && path.starts_with(e.prefix);
  });
  if (it != routes_.end()) return it->handler(request, std::move(responder));
  WriteJson(responder, kNotFound,
            R"({"code":1001,"error":"bad_request","detail":"no such route"})");
}

void WriteJson(Responder& responder, int status, const QByteArray& body,
               const Headers& headers) {
  responder.WriteResponse(status, "application/json", body, headers);
}

}  // namespace turmeric::http
