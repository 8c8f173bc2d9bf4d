#pragma once

#include <QObject>
#include <QTimer>
#include <cstdint>
#include <functional>
#include <memory>
#include <vector>

#include "turmeric/http/router_server.h"
#include "turmeric/store/memory_store.h"

namespace turmeric::standins {

/** Faults of the platform's store, beside those of MemoryStore. */
struct PlatformFaults {
  store::StoreFaults store;
  int delay_ms = 4;     ///< Time to an answer.
  bool silent = false;  ///< Takes calls and never answers, watches included.
};

/**
 * The platform's object API as a process of its own would serve it: HTTP
 * over a MemoryStore. GET|PUT|DELETE /v1/objects?key=, GET /v1/list?prefix=,
 * GET /v1/watch?prefix=&after= (JSON lines; a bookmark when the state so far
 * is delivered, then every second), POST /admin/faults, POST /admin/compact,
 * GET /admin/counts.
 */
class PlatformStandin : public QObject {
 public:
  /** @param store what it serves. */
  explicit PlatformStandin(std::shared_ptr<store::MemoryStore> store);
  ~PlatformStandin() override;
  /** @param port port on 127.0.0.1; 0 picks one. @return bound port or 0. */
  uint16_t Listen(uint16_t port);
  /** @param faults faults from now on. */
  void SetFaults(const PlatformFaults& faults);

 private:
  struct OpenWatch;
  void AddRoutes();
  /** Answers after the delay, or never while silent. */
  void Later(http::Responder&& responder,
             std::function<void(http::Responder&)> answer);
  void Watch(const QHttpServerRequest& request, http::Responder&& responder);
  void SendBookmarks();

  std::shared_ptr<store::MemoryStore> store_;
  PlatformFaults faults_;
  http::RouterServer server_;
  QTimer bookmarks_;
  std::vector<std::shared_ptr<OpenWatch>> watches_;
  std::vector<std::shared_ptr<http::Responder>> unanswered_;
};

}  // namespace turmeric::standins
