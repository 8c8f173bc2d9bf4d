#pragma once

#include <QObject>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

#include "turmeric/http/client_connection.h"
#include "turmeric/routing/upstream.h"

namespace turmeric::entry {

/**
 * One open HTTP exchange with an upstream. Destroying it cancels the exchange.
 */
class UpstreamExchange {
 public:
  explicit UpstreamExchange(http::ClientConnection* connection,
                            std::function<void()> release)
      : connection_(connection), release_(std::move(release)) {}
  ~UpstreamExchange() { Cancel(); }
  UpstreamExchange(const UpstreamExchange&) = delete;
  UpstreamExchange& operator=(const UpstreamExchange&) = delete;

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
  std::function<void()> release_;
};

/** Options of one exchange. */
struct ExchangeOptions {
  /**
   * Opens a new connection instead of reusing an idle one. The upstream may
   * close an idle connection while the request is being written, and a request
   * that may run only once could then not be retried.
   */
  bool fresh_connection = false;
};

/**
 * Pools of keep-alive connections to upstreams. The number of idle connections
 * to each upstream is bounded.
 */
class UpstreamClient : public QObject {
 public:
  UpstreamClient();
  ~UpstreamClient() override;

  /**
   * @param upstream an upstream.
   * @param limit this instance's share of the upstream's connections; 0:
   *     unlimited.
   * @return true if an exchange may be opened now.
   */
  bool HasConnection(const routing::Upstream& upstream, int limit) const;
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
   * Closes the idle connections to an upstream that was removed.
   * @param upstream_id id of the upstream.
   */
  void CloseIdle(const std::string& upstream_id);

 private:
  struct Pool {
    std::vector<http::ClientConnection*> idle;
  };
  /** An attempt to connect that has failed. */
  struct ConnectAttempt {
    const routing::Upstream& upstream;
    std::chrono::steady_clock::time_point since;
    bool refused = false;
  };
  http::ClientConnection* TakeIdle(Pool& pool, routing::Upstream& upstream);
  http::ClientConnection* Open(const routing::UpstreamPtr& upstream);
  void Discard(http::ClientConnection* connection, routing::Upstream& upstream);
  void ReturnToPool(http::ClientConnection* connection,
                    const routing::UpstreamPtr& upstream);

  void LogNotConnected(const ConnectAttempt& attempt) const;

  std::map<std::string, Pool> pools_;
  /** When any upstream last answered. */
  std::chrono::steady_clock::time_point last_answer_ =
      std::chrono::steady_clock::now();
};

}  // namespace turmeric::entry
