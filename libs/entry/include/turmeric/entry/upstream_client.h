#pragma once

#include <QObject>
#include <QTimer>
#include <chrono>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "turmeric/http/client_connection.h"
#include "turmeric/routing/upstream.h"

namespace turmeric::entry {

class TunnelPeers;
struct TunnelPeer;

/**
 * One open HTTP exchange with an upstream. Destroying it cancels the exchange.
 */
class UpstreamExchange {
 public:
  explicit UpstreamExchange(http::ClientConnection* connection,
                            std::function<void()> release)
      : connection_(connection),
        connection_id_(connection->id()),
        number_(connection->exchanges() + 1),
        release_(std::move(release)) {}
  ~UpstreamExchange() { Cancel(); }
  UpstreamExchange(const UpstreamExchange&) = delete;
  UpstreamExchange& operator=(const UpstreamExchange&) = delete;

  /** @return number of the connection, see http::ClientConnection::id(). */
  uint64_t connection_id() const { return connection_id_; }
  /** @return position of this exchange on its connection, from 1. */
  int number() const { return number_; }
  /** Closes the connection, so that the upstream drops the request. */
  void Cancel();
  /** @param paused true: stop reading the response; false: resume. */
  void PauseReading(bool paused);
  /**
   * Called when the exchange has ended by itself: frees the connection without
   * closing it.
   */
  void Finish();

 private:
  http::ClientConnection* connection_;
  uint64_t connection_id_;
  int number_;
  std::function<void()> release_;
};

/** Options of one exchange. */
struct ExchangeOptions {
  /** How the answer states that it belongs to this request. Without an id, the
   * request is sent on a new connection. */
  http::ResponseBinding binding;
  /**
   * Opens a new connection instead of reusing an idle one. The upstream may
   * close an idle connection while the request is being written, and a request
   * that may run only once could then not be retried.
   */
  bool fresh_connection = false;
};

/**
 * Pools of keep-alive connections to upstreams. The number of idle connections
 * to each upstream is bounded. Connections to an upstream that this instance
 * does not reach itself are tunnels through peer instances.
 */
class UpstreamClient : public QObject {
 public:
  /** Called when a failure may be one of the path to an upstream. */
  using SuspectCallback =
      std::function<void(const routing::UpstreamPtr&, std::string_view why)>;

  UpstreamClient();
  ~UpstreamClient() override;

  /** @param peers open tunnels; must outlive this object. @param suspect see
   * SuspectCallback. */
  void set_paths(TunnelPeers* peers, SuspectCallback suspect) {
    peers_ = peers;
    suspect_ = std::move(suspect);
  }
  /** Closes the idle connections to an upstream that are no tunnels.
   * @param upstream the upstream. */
  void CloseIdleDirect(const routing::Upstream& upstream);
  /** Closes the idle tunnels through a peer that is stopping.
   * @param peer its name. */
  void CloseIdleTunnels(const std::string& peer);
  /** @return when any upstream last answered. */
  std::chrono::steady_clock::time_point last_answer() const {
    return last_answer_;
  }

  /**
   * @param upstream an upstream.
   * @param limit this instance's share of the upstream's connections; 0:
   *     unlimited.
   * @return true if an exchange may be opened now.
   */
  bool HasConnection(const routing::Upstream& upstream, int limit) const;
  /** @param upstream an upstream. @return true if an idle connection to it is
   * kept. */
  bool HasIdle(const routing::Upstream& upstream) const;
  /**
   * Closes idle connections to an upstream, the oldest first.
   * @param upstream the upstream.
   * @param connections number of connections, idle or not, down to which they
   *     are closed.
   */
  void TrimIdle(routing::Upstream& upstream, int connections);
  /**
   * Sends one request.
   * @param upstream the receiver.
   * @param bytes the whole serialized request.
   * @param events see http::ExchangeEvents.
   * @param options see ExchangeOptions.
   * @return the open exchange.
   */
  std::shared_ptr<UpstreamExchange> Send(routing::UpstreamPtr upstream,
                                         std::string_view bytes,
                                         http::ExchangeEvents events,
                                         ExchangeOptions options = {});
  /**
   * Fails the requests to an upstream whose connections are not established, as
   * not sent: the upstream no longer takes them.
   * @param upstream the upstream.
   */
  void FailUnconnected(const routing::Upstream& upstream);
  /**
   * Closes the idle connections to an upstream that was removed.
   * @param upstream_id id of the upstream.
   */
  void CloseIdle(const std::string& upstream_id);

 private:
  using Clock = std::chrono::steady_clock;
  struct Pool {
    std::vector<http::ClientConnection*> idle;
    /** When an answer of the upstream last stated no id. */
    std::optional<Clock::time_point> last_without_id;
  };
  /** @return true for connections to be closed. */
  using Condition = std::function<bool(const http::ClientConnection*)>;
  /** An exchange in flight. */
  struct OpenExchange {
    routing::UpstreamPtr upstream;
    Clock::time_point since;
  };

  /** @return an idle connection that may carry the request, no longer in its
   * pool; nullptr: none. */
  http::ClientConnection* TakeIdle(const routing::UpstreamPtr& upstream,
                                   std::string_view request_id);
  /** @return true if the upstream's answers state their ids, so that a
   * connection can carry several requests. */
  bool StatesIds(const routing::Upstream& upstream) const;
  void OnAnswerWithoutId(const http::ClientConnection& connection,
                         const routing::Upstream& upstream);
  http::ResponseBinding WrapBinding(http::ResponseBinding binding,
                                    http::ClientConnection* connection,
                                    const routing::UpstreamPtr& upstream);
  http::ClientConnection* Open(const routing::UpstreamPtr& upstream);
  std::optional<TunnelPeer> ChoosePeer(const routing::Upstream& upstream) const;
  http::ClientConnection* OpenTunnel(const routing::Upstream& upstream);
  void Discard(http::ClientConnection* connection, routing::Upstream& upstream);
  void ReturnToPool(http::ClientConnection* connection,
                    const routing::UpstreamPtr& upstream);
  /** Logs bytes of the upstream that belong to no exchange. */
  static void LogUnrequested(const http::ClientConnection& connection,
                             const routing::Upstream& upstream);
  void OnIdleEnd(http::ClientConnection* connection,
                 const routing::UpstreamPtr& upstream);
  static void EndIdleIf(Pool& pool, const Condition& condition);
  http::ExchangeEvents Wrap(http::ExchangeEvents events,
                            const std::shared_ptr<UpstreamExchange>& exchange,
                            http::ClientConnection* connection,
                            const routing::UpstreamPtr& upstream);
  void OnAnswer(routing::Upstream& upstream,
                http::ClientConnection* connection);
  void OnFailure(http::ClientConnection* connection,
                 const routing::UpstreamPtr& upstream,
                 http::ExchangeFailure failure, Clock::time_point since);
  /** Reports upstreams whose hosts do not acknowledge requests. */
  void CheckAcknowledged();
  bool IsTunnel(const http::ClientConnection* connection) const;

  std::map<std::string, Pool> pools_;
  std::map<http::ClientConnection*, OpenExchange> open_;
  /** Names of the peers that tunnels lead through. */
  std::map<const http::ClientConnection*, std::string> tunnels_;
  TunnelPeers* peers_ = nullptr;
  SuspectCallback suspect_;
  QTimer acknowledge_timer_;
  Clock::time_point last_answer_ = Clock::now();
};

}  // namespace turmeric::entry
