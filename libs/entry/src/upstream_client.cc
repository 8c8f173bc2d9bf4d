#include "turmeric/entry/upstream_client.h"

#include <QPointer>
#include <algorithm>
#include <utility>

#include "turmeric/entry/tunnel_peers.h"
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
/** Time for which an upstream gets each request on a new connection, after an
 * answer without an id. */
constexpr std::chrono::seconds kWithoutIdTime{30};
/** Interval of the check for upstreams that do not acknowledge requests. */
constexpr std::chrono::milliseconds kAcknowledgeCheckInterval{200};
/** Time within which TCP acknowledges a request, also after the loss of a
 * packet. */
constexpr std::chrono::milliseconds kAcknowledgeTime{400};

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

UpstreamClient::UpstreamClient() {
  acknowledge_timer_.setInterval(kAcknowledgeCheckInterval);
  connect(&acknowledge_timer_, &QTimer::timeout, this,
          [this] { CheckAcknowledged(); });
}

UpstreamClient::~UpstreamClient() {
  // Cancel open exchanges while the pools that their connections return to
  // still exist.
  const QObjectList connections = children();
  for (QObject* child : connections) {
    if (auto* connection = dynamic_cast<ClientConnection*>(child)) {
      connection->Cancel();
    }
  }
}

bool UpstreamClient::HasConnection(const Upstream& upstream, int limit) const {
  if (limit <= 0) return true;
  const auto it = pools_.find(upstream.entry.id);
  const size_t idle = it == pools_.end() ? 0 : it->second.idle.size();
  return upstream.connections - static_cast<int>(idle) < limit;
}

bool UpstreamClient::HasIdle(const Upstream& upstream) const {
  const auto it = pools_.find(upstream.entry.id);
  return it != pools_.end() && !it->second.idle.empty();
}

void UpstreamClient::TrimIdle(Upstream& upstream, int connections) {
  const auto it = pools_.find(upstream.entry.id);
  if (it == pools_.end()) return;
  auto& idle = it->second.idle;
  while (!idle.empty() && upstream.connections > connections) {
    ClientConnection* oldest = idle.front();
    idle.erase(idle.begin());
    Discard(oldest, upstream);
  }
}

bool UpstreamClient::IsTunnel(const ClientConnection* connection) const {
  return tunnels_.contains(connection);
}

ClientConnection* UpstreamClient::TakeIdle(const UpstreamPtr& upstream,
                                           std::string_view request_id) {
  const auto now = Clock::now();
  while (true) {
    // Looked up each time: the end of an idle connection may change the pools.
    auto& idle = pools_[upstream->entry.id].idle;
    // Guard: a second answer to an earlier send of the same request states the
    // id of this one, so it is told apart by its connection only.
    const auto it = std::find_if(
        idle.rbegin(), idle.rend(),
        [&](ClientConnection* c) { return !c->HasCarried(request_id); });
    if (it == idle.rend()) return nullptr;
    ClientConnection* connection = *it;
    const auto usable_until =
        connection->idle_since() + connection->keep_alive() - kIdleMargin;
    const bool detour =
        upstream->reach.path == routing::Path::kDirect && IsTunnel(connection);
    const bool usable = connection->reusable() && now < usable_until && !detour;
    // A connection that ends here is removed by OnIdleEnd.
    if (usable && !connection->ConfirmIdle()) continue;
    std::erase(idle, connection);
    if (usable) return connection;
    Discard(connection, *upstream);
  }
}

bool UpstreamClient::StatesIds(const Upstream& upstream) const {
  const auto it = pools_.find(upstream.entry.id);
  if (it == pools_.end() || !it->second.last_without_id) return true;
  return Clock::now() - *it->second.last_without_id > kWithoutIdTime;
}

void UpstreamClient::OnAnswerWithoutId(const ClientConnection& connection,
                                       const Upstream& upstream) {
  if (StatesIds(upstream)) {
    utils::DecisionLog("answer_without_id")
        .Add("upstream", upstream.entry.id)
        .Add("connection", connection.id())
        .Add("exchange", connection.exchanges());
  }
  pools_[upstream.entry.id].last_without_id = Clock::now();
}

http::ResponseBinding UpstreamClient::WrapBinding(http::ResponseBinding binding,
                                                  ClientConnection* connection,
                                                  const UpstreamPtr& upstream) {
  http::ResponseBinding wrapped;
  wrapped.id = binding.id;
  if (binding.id.empty()) return wrapped;
  wrapped.id_of =
      [this, connection, upstream,
       id_of = std::move(binding.id_of)](const http::ResponseHead& head) {
        std::string id = id_of(head);
        if (id.empty()) OnAnswerWithoutId(*connection, *upstream);
        return id;
      };
  wrapped.on_foreign = [connection, upstream, request = binding.id](
                           std::string_view id,
                           const http::ResponseHead& head) {
    utils::DecisionLog("foreign_answer_skipped")
        .Add("request", request)
        .Add("answer_to", id)
        .Add("upstream", upstream->entry.id)
        .Add("status", head.status)
        .Add("connection", connection->id())
        .Add("exchange", connection->exchanges());
  };
  return wrapped;
}

ClientConnection* UpstreamClient::Open(const UpstreamPtr& upstream) {
  ++upstream->connections;
  if (upstream->reach.path != routing::Path::kDirect) {
    return OpenTunnel(*upstream);
  }
  return new ClientConnection(http::ParseEndpoint(upstream->entry.address),
                              kConnectTimeout, this);
}

std::optional<TunnelPeer> UpstreamClient::ChoosePeer(
    const Upstream& upstream) const {
  if (peers_ == nullptr || upstream.reach.path != routing::Path::kTunnel) {
    return std::nullopt;
  }
  const auto now = Clock::now();
  if (auto known = peers_->Find(upstream.reach.via, now)) return known;
  const auto others = peers_->Choose(upstream.entry.zone, 1, now);
  return others.empty() ? std::nullopt : std::optional(others.front());
}

ClientConnection* UpstreamClient::OpenTunnel(const Upstream& upstream) {
  const std::optional<TunnelPeer> chosen = ChoosePeer(upstream);
  if (!chosen) {
    // Fails at once, because a new attempt would only use up the time of the
    // request.
    return new ClientConnection(http::Endpoint{}, kConnectTimeout, this);
  }
  const std::string& peer = chosen->name;
  auto* connection = new ClientConnection(
      http::TunnelRoute{chosen->address, upstream.entry.id}, kConnectTimeout,
      this);
  tunnels_[connection] = peer;
  peers_->OnOpened(peer);
  connect(connection, &QObject::destroyed, this, [this, connection, peer] {
    tunnels_.erase(connection);
    peers_->OnClosed(peer);
  });
  return connection;
}

void UpstreamClient::Discard(ClientConnection* connection, Upstream& upstream) {
  connection->Cancel();
  connection->deleteLater();
  --upstream.connections;
}

void UpstreamClient::LogUnrequested(const ClientConnection& connection,
                                    const Upstream& upstream) {
  if (connection.unrequested_bytes() == 0) return;
  utils::DecisionLog("unrequested_bytes")
      .Add("upstream", upstream.entry.id)
      .Add("connection", connection.id())
      .Add("exchanges", connection.exchanges())
      .Add("bytes", connection.unrequested_bytes());
}

void UpstreamClient::ReturnToPool(ClientConnection* connection,
                                  const UpstreamPtr& upstream) {
  LogUnrequested(*connection, *upstream);
  if (!upstream->listed || IsLeaving(*upstream) || !connection->reusable()) {
    return Discard(connection, *upstream);
  }
  Pool& pool = pools_[upstream->entry.id];
  if (pool.idle.size() >= kMaxIdle) return Discard(connection, *upstream);
  pool.idle.push_back(connection);
  connection->set_on_idle_end(
      [this, connection, upstream] { OnIdleEnd(connection, upstream); });
}

void UpstreamClient::OnIdleEnd(ClientConnection* connection,
                               const UpstreamPtr& upstream) {
  std::erase(pools_[upstream->entry.id].idle, connection);
  LogUnrequested(*connection, *upstream);
  const bool suspect = connection->was_reset() && !IsTunnel(connection);
  Discard(connection, *upstream);
  if (suspect && suspect_) suspect_(upstream, "idle_connection_reset");
}

void UpstreamClient::OnAnswer(Upstream& upstream,
                              ClientConnection* connection) {
  last_answer_ = Clock::now();
  if (!IsTunnel(connection)) upstream.reach.answered_at = last_answer_;
}

void UpstreamClient::OnFailure(ClientConnection* connection,
                               const UpstreamPtr& upstream,
                               http::ExchangeFailure failure,
                               Clock::time_point since) {
  const auto now = Clock::now();
  const auto ms_since = [now](Clock::time_point time) {
    return std::chrono::duration_cast<std::chrono::milliseconds>(now - time)
        .count();
  };
  const auto tunnel = tunnels_.find(connection);
  const bool is_tunnel = tunnel != tunnels_.end();
  if (failure == http::ExchangeFailure::kNotSent) {
    utils::DecisionLog("upstream_not_connected")
        .Add("upstream", upstream->entry.id)
        .Add("service", upstream->entry.service)
        .Add("refused", connection->connection_refused())
        .Add("peer", is_tunnel ? tunnel->second : "-")
        .Add("ms", ms_since(since))
        .Add("open", upstream->connections)
        .Add("last_answer_ms", ms_since(last_answer_));
    // The failure of a request that was given up shows nothing of its path.
    if (IsLeaving(*upstream) || IsResting(*upstream, now)) return;
    if (is_tunnel && !connection->proxy_answered()) {
      peers_->OnNoAnswer(tunnel->second, now);
    }
    if (suspect_) suspect_(upstream, "not_connected");
  } else if (failure == http::ExchangeFailure::kUnattributed) {
    utils::DecisionLog("unattributed_answer")
        .Add("upstream", upstream->entry.id)
        .Add("connection", connection->id())
        .Add("exchange", connection->exchanges())
        .Add("ms", ms_since(since));
  } else if (!is_tunnel && connection->was_reset() && suspect_) {
    suspect_(upstream, "reset");
  }
}

http::ExchangeEvents UpstreamClient::Wrap(
    http::ExchangeEvents events,
    const std::shared_ptr<UpstreamExchange>& exchange,
    ClientConnection* connection, const UpstreamPtr& upstream) {
  // The connection's callbacks hold the exchange weakly: its owner may destroy
  // it at any time, which cancels it.
  const std::weak_ptr<UpstreamExchange> weak = exchange;
  http::ExchangeEvents wrapped;
  wrapped.on_head =
      [this, connection, upstream,
       on_head = std::move(events.on_head)](const http::ResponseHead& head) {
        OnAnswer(*upstream, connection);
        return !on_head || on_head(head);
      };
  wrapped.on_body = [this, connection, upstream,
                     on_body =
                         std::move(events.on_body)](std::string_view bytes) {
    OnAnswer(*upstream, connection);
    if (on_body) on_body(bytes);
  };
  wrapped.on_end = [weak, on_end = std::move(events.on_end)] {
    if (const auto open = weak.lock()) open->Finish();
    on_end();
  };
  wrapped.on_failure = [this, weak, connection, upstream, since = Clock::now(),
                        on_failure = std::move(events.on_failure)](
                           http::ExchangeFailure failure) {
    OnFailure(connection, upstream, failure, since);
    if (const auto open = weak.lock()) open->Finish();
    on_failure(failure);
  };
  return wrapped;
}

std::shared_ptr<UpstreamExchange> UpstreamClient::Send(
    UpstreamPtr upstream, std::string_view bytes, http::ExchangeEvents events,
    ExchangeOptions options) {
  const bool fresh = options.fresh_connection || options.binding.id.empty() ||
                     bytes.starts_with("HEAD ") || !StatesIds(*upstream);
  ClientConnection* connection =
      fresh ? nullptr : TakeIdle(upstream, options.binding.id);
  if (connection == nullptr) {
    // Replaces an idle connection, so that their number does not grow.
    TrimIdle(*upstream, upstream->connections - 1);
    connection = Open(upstream);
  }
  connection->set_on_idle_end(nullptr);
  ++upstream->in_flight;
  open_[connection] = {.upstream = upstream, .since = Clock::now()};
  if (!acknowledge_timer_.isActive()) acknowledge_timer_.start();
  auto exchange = std::make_shared<UpstreamExchange>(
      connection, [this, connection, upstream] {
        --upstream->in_flight;
        open_.erase(connection);
        ReturnToPool(connection, upstream);
      });
  connection->Send(
      bytes, Wrap(std::move(events), exchange, connection, upstream),
      WrapBinding(std::move(options.binding), connection, upstream));
  return exchange;
}

void UpstreamClient::CheckAcknowledged() {
  if (open_.empty()) return acknowledge_timer_.stop();
  const auto now = Clock::now();
  std::vector<UpstreamPtr> unacknowledged;
  for (const auto& [connection, exchange] : open_) {
    if (IsTunnel(connection) || !connection->awaits_response()) continue;
    if (now - exchange.since > kAcknowledgeTime &&
        connection->unacknowledged() > 0) {
      unacknowledged.push_back(exchange.upstream);
    }
  }
  if (!suspect_) return;
  for (const UpstreamPtr& upstream : unacknowledged) {
    suspect_(upstream, "unacknowledged");
  }
}

void UpstreamClient::EndIdleIf(Pool& pool, const Condition& condition) {
  // The end of an idle connection removes it from its pool.
  const std::vector<ClientConnection*> idle(pool.idle);
  for (ClientConnection* connection : idle) {
    if (condition(connection)) connection->EndIdle();
  }
}

void UpstreamClient::CloseIdleDirect(const Upstream& upstream) {
  EndIdleIf(pools_[upstream.entry.id],
            [this](const ClientConnection* c) { return !IsTunnel(c); });
}

void UpstreamClient::CloseIdleTunnels(const std::string& peer) {
  for (auto& [upstream_id, pool] : pools_) {
    EndIdleIf(pool, [&](const ClientConnection* c) {
      const auto tunnel = tunnels_.find(c);
      return tunnel != tunnels_.end() && tunnel->second == peer;
    });
  }
}

void UpstreamClient::FailUnconnected(const Upstream& upstream) {
  std::vector<QPointer<ClientConnection>> unconnected;
  for (const auto& [connection, exchange] : open_) {
    if (exchange.upstream->entry.id == upstream.entry.id &&
        !connection->connected()) {
      unconnected.emplace_back(connection);
    }
  }
  // The failure of a request may end others.
  for (const QPointer<ClientConnection>& connection : unconnected) {
    if (connection && open_.contains(connection)) connection->FailUnsent();
  }
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
