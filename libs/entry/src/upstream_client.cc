#include "turmeric/entry/upstream_client.h"

#include <algorithm>
#include <utility>

#include "turmeric/utils/decision_log.h"

namespace turmeric::entry {

using http::ClientConnection;
using routing::Upstream;
using routing::UpstreamPtr;

namespace {

/**
 * Limit of the TCP handshake. A lost packet is retransmitted only after a
 * second; by then, another upstream has responded.
 */
constexpr std::chrono::milliseconds kConnectTimeout{600};
/**
 * An idle connection is not reused during the last part of its keep-alive time,
 * because the upstream may close it while a request is on its way.
 */
constexpr std::chrono::milliseconds kIdleMargin{1000};
/** Idle connections kept to one upstream. */
constexpr size_t kMaxIdle = 16;

}  // namespace

void UpstreamExchange::Cancel() {
  if (connection_ == nullptr) return;
  std::exchange(connection_, nullptr)->Cancel();
  release_();
}

void UpstreamExchange::PauseReading(bool paused) {
  if (connection_ != nullptr) connection_->PauseReading(paused);
}

void UpstreamExchange::Finish() {
  if (connection_ == nullptr) return;
  connection_ = nullptr;
  release_();
}

UpstreamClient::UpstreamClient() = default;

UpstreamClient::~UpstreamClient() {
  // Cancel open exchanges while the pools that their connections return to
  // still exist.
  const QObjectList connections = children();
  for (QObject* child : connections) {
    static_cast<ClientConnection*>(child)->Cancel();
  }
}

bool UpstreamClient::HasConnection(const Upstream& upstream, int limit) const {
  if (limit <= 0 || upstream.connections < limit) return true;
  const auto it = pools_.find(upstream.entry.id);
  return it != pools_.end() && !it->second.idle.empty();
}

ClientConnection* UpstreamClient::TakeIdle(Pool& pool, Upstream& upstream) {
  const auto now = std::chrono::steady_clock::now();
  while (!pool.idle.empty()) {
    ClientConnection* connection = pool.idle.back();
    pool.idle.pop_back();
    const auto usable_until =
        connection->idle_since() + connection->keep_alive() - kIdleMargin;
    if (connection->reusable() && now < usable_until) return connection;
    Discard(connection, upstream);
  }
  return nullptr;
}

ClientConnection* UpstreamClient::Open(const UpstreamPtr& upstream) {
  ++upstream->connections;
  return new ClientConnection(http::ParseEndpoint(upstream->entry.address),
                              kConnectTimeout, this);
}

void UpstreamClient::Discard(ClientConnection* connection, Upstream& upstream) {
  connection->Cancel();
  connection->deleteLater();
  --upstream.connections;
}

void UpstreamClient::ReturnToPool(ClientConnection* connection,
                                  const UpstreamPtr& upstream) {
  if (!upstream->listed || !connection->reusable()) {
    return Discard(connection, *upstream);
  }
  Pool& pool = pools_[upstream->entry.id];
  if (pool.idle.size() >= kMaxIdle) return Discard(connection, *upstream);
  pool.idle.push_back(connection);
  connection->set_on_idle_end([this, connection, upstream] {
    std::erase(pools_[upstream->entry.id].idle, connection);
    Discard(connection, *upstream);
  });
}

std::shared_ptr<UpstreamExchange> UpstreamClient::Send(
    UpstreamPtr upstream, std::string_view bytes, http::ExchangeEvents events,
    ExchangeOptions options) {
  ClientConnection* connection =
      options.fresh_connection
          ? nullptr
          : TakeIdle(pools_[upstream->entry.id], *upstream);
  if (connection == nullptr) connection = Open(upstream);
  connection->set_on_idle_end(nullptr);
  ++upstream->in_flight;
  auto exchange = std::make_shared<UpstreamExchange>(
      connection, [this, connection, upstream] {
        --upstream->in_flight;
        ReturnToPool(connection, upstream);
      });
  // The connection's callbacks hold the exchange weakly: its owner may destroy
  // it at any time, which cancels it.
  const std::weak_ptr<UpstreamExchange> weak = exchange;
  http::ExchangeEvents wrapped;
  wrapped.on_head = [this, on_head = std::move(events.on_head)](
                        const http::ResponseHead& head) {
    last_answer_ = std::chrono::steady_clock::now();
    return !on_head || on_head(head);
  };
  wrapped.on_body = std::move(events.on_body);
  wrapped.on_end = [weak, on_end = std::move(events.on_end)] {
    if (const auto open = weak.lock()) open->Finish();
    on_end();
  };
  wrapped.on_failure = [this, weak, connection, upstream,
                        since = std::chrono::steady_clock::now(),
                        on_failure = std::move(events.on_failure)](
                           http::ExchangeFailure failure) {
    if (failure == http::ExchangeFailure::kNotSent) {
      LogNotConnected({.upstream = *upstream,
                       .since = since,
                       .refused = connection->connection_refused()});
    }
    if (const auto open = weak.lock()) open->Finish();
    on_failure(failure);
  };
  connection->Send(bytes, std::move(wrapped));
  return exchange;
}

void UpstreamClient::LogNotConnected(const ConnectAttempt& attempt) const {
  const auto now = std::chrono::steady_clock::now();
  const auto ms_since = [now](std::chrono::steady_clock::time_point time) {
    return std::chrono::duration_cast<std::chrono::milliseconds>(now - time)
        .count();
  };
  utils::DecisionLog("upstream_not_connected")
      .Add("upstream", attempt.upstream.entry.id)
      .Add("service", attempt.upstream.entry.service)
      .Add("refused", attempt.refused)
      .Add("ms", ms_since(attempt.since))
      .Add("open", attempt.upstream.connections)
      .Add("last_answer_ms", ms_since(last_answer_));
}

void UpstreamClient::CloseIdle(const std::string& upstream_id) {
  const auto it = pools_.find(upstream_id);
  if (it == pools_.end()) return;
  for (ClientConnection* connection : it->second.idle) {
    connection->Cancel();
    connection->deleteLater();
  }
  pools_.erase(it);
}

}  // namespace turmeric::entry
