#pragma once

#include <QObject>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <string>
#include <string_view>
#include <vector>

#include "turmeric/http/listener.h"
#include "turmeric/http/request_intake.h"
#include "turmeric/http/responder.h"
#include "turmeric/http/server_connection.h"
#include "turmeric/memory/memory_account.h"
#include "turmeric/utils/log_interval.h"

namespace turmeric::http {

class HttpRequest;

/** Handles one request; may keep the responder and respond later. */
using Handler = std::function<void(const HttpRequest&, Responder&&)>;

/** Limits of a RouterServer. */
struct RouterLimits {
  size_t max_body_bytes = 16 * 1024 * 1024;
  size_t request_bytes = 40 * 1024 * 1024;  ///< Of all large requests.
  size_t partial_bytes = 16 * 1024 * 1024;  ///< Of all partial requests.
  /** Of all connections without their requests. */
  size_t connection_bytes = 16 * 1024 * 1024;
};

/**
 * HTTP server that routes requests by method and path prefix. The responder is
 * moved into the handler, which may respond asynchronously. Limits of requests:
 * see ServerLimits and RequestIntake. There are as many connections as their
 * memory allows, and half of the descriptors of the process; one of them is
 * closed for a new one (CloseForNew()), else the new one is reset.
 */
class RouterServer : public QObject {
 public:
  /** @param limits see RouterLimits. */
  explicit RouterServer(const RouterLimits& limits = {});
  ~RouterServer() override;

  /**
   * @param method the HTTP method.
   * @param prefix path prefix; the longest matching prefix wins.
   * @param handler the handler.
   */
  void Route(std::string method, std::string prefix, Handler handler);
  /** @param refusal see RequestIntakeEvents::refusal. @param on_refused see
   * RequestIntakeEvents::on_refused. */
  void set_refusal(
      std::function<ResponseMessage(const RequestMessage& head)> refusal,
      std::function<void(std::string_view reason)> on_refused);
  /** @param callback see ServerConnection::set_on_rejected. */
  void set_on_rejected(std::function<void(int status)> callback) {
    on_rejected_ = std::move(callback);
  }
  /** @param callback called when a connection is closed for a new one. */
  void set_on_closed_for_new(std::function<void()> callback) {
    on_closed_for_new_ = std::move(callback);
  }
  /** @param address local address; port 0 selects a free port.
   * @return the bound port, 0 if the address cannot be bound. */
  uint16_t Listen(const Endpoint& address);
  /** Accepts the connections that are waiting, and stops listening. */
  void CloseListener();
  /** Resets all connections. */
  void AbortConnections();
  /** @return response bytes that have not been handed to the system yet. */
  size_t unsent() const;
  /** @return the account of large requests. */
  memory::MemoryAccount& account() { return account_; }

 private:
  struct Entry {
    std::string method;
    std::string prefix;
    Handler handler;
  };

  bool Takes();
  void Accept(int fd);
  void Handle(ServerConnection& connection, RequestMessage&& message);
  std::vector<ServerConnection*> Connections() const;

  const ServerLimits limits_;
  memory::MemoryAccount account_;
  std::function<ResponseMessage(const RequestMessage&)> refusal_;
  std::function<void(std::string_view)> on_refused_;
  std::function<void()> on_closed_for_new_;
  std::function<void(int)> on_rejected_;
  RequestIntake intake_;
  Listener listener_;
  const size_t max_connections_;
  size_t open_connections_ = 0;
  utils::LogInterval log_interval_;
  utils::LogInterval close_log_;
  std::vector<Entry> routes_;
};

/**
 * Writes a complete JSON response.
 * @param responder the responder.
 * @param status HTTP status code.
 * @param body JSON body.
 * @param headers additional headers.
 */
void WriteJson(Responder& responder, int status, const QByteArray& body,
               const Headers& headers = {});

}  // namespace turmeric::http
