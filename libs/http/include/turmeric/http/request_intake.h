#pragma once

#include <QObject>
#include <chrono>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string_view>
#include <vector>

#include "turmeric/http/server_connection.h"
#include "turmeric/memory/charge.h"
#include "turmeric/memory/reception.h"
#include "turmeric/utils/log_interval.h"

namespace turmeric::memory {
class MemoryAccount;
}

namespace turmeric::http {

/** Callbacks of a RequestIntake; all but `refusal` may be empty. */
struct RequestIntakeEvents {
  /** Returns the response to a request that is refused. `head` is the request
   * without its body. */
  std::function<ResponseMessage(RequestMessage&& head)> refusal;
  /** A request was refused before it was complete. `reason` is "no_room",
   * "given_up" for the room of another large one, or "partial" for that of
   * other partial ones. */
  std::function<void(std::string_view reason)> on_refused;
};

/**
 * Bounds the bytes of the requests that a server's connections receive. Those
 * of large requests are charged to an account; whoever handles a request
 * charges it to the same account until it is answered. Does nothing without a
 * bound. See memory::DecideReception and memory::DecidePartial for the
 * decisions.
 *
 * Requests are refused with the status 503: they have not been passed on. A
 * client that is given up for what it sent ahead of an answer is reset.
 */
class RequestIntake : public QObject {
 public:
  /**
   * @param account bytes of large requests; must outlive this.
   * @param partial_bound bytes that partial requests may hold in all.
   * @param events see RequestIntakeEvents.
   */
  RequestIntake(memory::MemoryAccount& account, size_t partial_bound,
                RequestIntakeEvents events);
  ~RequestIntake() override;

  /** @param connection whose requests are bounded until it is destroyed. */
  void Add(ServerConnection& connection);

 private:
  /** A connection that receives a large request. */
  struct Receiving {
    ServerConnection* connection = nullptr;
    memory::Reception reception;
    std::unique_ptr<memory::Charge> charge;
  };

  /** A connection that has received a part of a request that is not large. */
  struct Partial {
    ServerConnection* connection = nullptr;
    memory::PartialRequest request;
  };

  void OnReceived(ServerConnection& connection);
  void ReceiveLarge(ServerConnection& connection, size_t expected);
  void ReceivePartial(ServerConnection& connection, size_t held);
  void ErasePartial(uint64_t id);
  void GiveUpPartial();
  Receiving MakeReceiving(ServerConnection& connection) const;
  /** Decides on a request that is expected to have more bytes than before.
   * @return false if there is no room for it. */
  bool Admit(Receiving& receiving, size_t expected);
  /** Takes up what a connection has received. */
  static void Update(Receiving& receiving);
  std::vector<memory::Reception> Others(uint64_t id) const;
  /** @return bytes of requests that are not being received any more. */
  size_t held() const;
  void Refuse(ServerConnection& connection, std::string_view reason);
  void Log(const ServerConnection& connection, std::string_view reason);

  memory::MemoryAccount& account_;
  const RequestIntakeEvents events_;
  std::map<uint64_t, Receiving> receiving_;  ///< By connection id.
  std::map<uint64_t, Partial> partial_;      ///< By connection id.
  const size_t partial_bound_;
  size_t partial_bytes_ = 0;  ///< Held by the requests of partial_.
  utils::LogInterval log_interval_;
};

}  // namespace turmeric::http
