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

/** One open exchange with an upstream. Destroying it cancels. */
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
  /** @param paused true: stop reading the answer. */
  void PauseReading(bool paused);
  /** The exchange has ended by itself. */
  void Finish();

 private:
  http::ClientConnection* connection_;
  std::function<void()> release_;
};

/** How an exchange is to be made. */
struct ExchangeOptions {
  /** Never on a kept connection: it could be closing as we write, and a
   * request that may run only once could then not be sent again. */
  bool fresh_connection = false;
};

/**
 * Connections to upstreams, kept between exchanges. At most a bounded
 * number to each.
 */
class UpstreamClient : public QObject {
 public:
  UpstreamClient();
  ~UpstreamClient() override;

  /**
   * @param upstream an upstream. @param limit our share of its connections.
   * @return true if an exchange may be opened now.
   */
  bool HasConnection(const routing::Upstream& upstream, int limit) const;
  /**
   * Sends one request.
   * @param upstream where to. @param bytes the request, whole.
   * @param events see http::ExchangeEvents. @param options how.
   * @return the open exchange.
   */
  std::shared_ptr<UpstreamExchange> Send(routing::UpstreamPtr upstream,
                                         std::string_view bytes,
                                         http::ExchangeEvents events,
                                         ExchangeOptions options = {});
  /** Closes idle connections to an upstream that has left. */
  void Forget(const std::string& upstream_id);

 private:
  struct Pool {
    std::vector<http::ClientConnection*> idle;
  };
  http::ClientConnection* TakeIdle(Pool& pool, routing::Upstream& upstream);
  http::ClientConnection* Open(const routing::UpstreamPtr& upstream);
  void Discard(http::ClientConnection* connection, routing::Upstream& upstream);
  void Return(http::ClientConnection* connection,
              const routing::UpstreamPtr& upstream);

  std::map<std::string, Pool> pools_;
};

}  // namespace turmeric::entry
