#include "turmeric/entry/probe_server.h"

#include <utility>

#include "turmeric/entry/entry_metrics.h"
#include "turmeric/http/request_intake.h"
#include "turmeric/utils/decision_log.h"

namespace turmeric::entry {

namespace {

constexpr http::ServerLimits kLimits{.max_header_bytes = 16 * 1024,
                                     .max_body_bytes = 4 * 1024};
constexpr size_t kMaxConnections = 64;

}  // namespace

ProbeServer::ProbeServer(std::string_view name, EntryMetrics& metrics,
                         http::RequestIntake& intake,
                         http::ServerConnection::RequestHandler handler)
    : name_(name),
      metrics_(metrics),
      intake_(intake),
      handler_(std::move(handler)),
      listener_([this](int fd) { Accept(fd); }) {}

ProbeServer::~ProbeServer() {
  // Their destruction changes connections_.
  qDeleteAll(QObjectList(children()));
}

utils::Result<void> ProbeServer::Listen(std::string_view address) {
  return listener_.Listen(http::ParseEndpoint(address));
}

void ProbeServer::CloseOldest() {
  metrics_.OnConnectionShed(name_);
  if (const auto closed =
          log_interval_.Count(utils::LogInterval::Clock::now())) {
    utils::DecisionLog("probe_connections_closed")
        .Add("connections", *closed)
        .Add("address", name_)
        .Add("open", connections_.size());
  }
  connections_.front()->CutOff();
  connections_.pop_front();
}

void ProbeServer::Accept(int fd) {
  if (connections_.size() >= kMaxConnections) CloseOldest();
  auto* connection = new http::ServerConnection(
      fd, [] { return kLimits; }, handler_, this);
  connection->set_on_rejected(
      [this](int status) { metrics_.OnRejected(status); });
  intake_.Add(*connection);
  connections_.push_back(connection);
  connect(connection, &QObject::destroyed, this,
          [this, connection] { std::erase(connections_, connection); });
}

}  // namespace turmeric::entry
