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

/** Faults of the platform's store, in addition to those of MemoryStore. */
struct PlatformFaults {
  store::StoreFaults store;
  int delay_ms = 4;     ///< Delay of each answer.
  bool silent = false;  ///< Accepts calls and watches, but sends nothing.
};

/**
 * Stand-in for the platform's object store: serves a MemoryStore over HTTP.
 * GET|PUT|DELETE /v1/objects?key=, GET /v1/list?prefix=,
 * GET /v1/watch?prefix=&after= (JSON lines; a bookmark after the current state
 * has been sent, then one per second), POST /admin/faults, POST /admin/compact,
 * GET /admin/counts.
 */
class PlatformStandin : public QObject {
 public:
  /** @param store the store to serve. */
  explicit PlatformStandin(std::shared_ptr<store::MemoryStore> store);
  ~PlatformStandin() override;
  /** @param port port on 127.0.0.1; 0 selects a free port. @return the bound
   * port, or 0 on failure. */
  uint16_t Listen(uint16_t port);
  /** Sets the faults for all later calls. When `silent` is cleared, closes the
   * unanswered connections and all open watches, because events were dropped.
   * @param faults new faults. */
  void SetFaults(const PlatformFaults& faults);

 private:
  struct OpenWatch;

  void AddRoutes();
  /** Calls `answer` after PlatformFaults::delay_ms; while silent, keeps the
   * connection open without an answer. */
  void AnswerDelayed(http::Responder&& responder,
                     std::function<void(http::Responder&)> answer);
  void Watch(const http::HttpRequest& request, http::Responder&& responder);
  void SendBookmarks();

  std::shared_ptr<store::MemoryStore> store_;
  PlatformFaults faults_;
  http::RouterServer server_;
  QTimer bookmarks_;
  std::vector<std::shared_ptr<OpenWatch>> watches_;
  std::vector<std::shared_ptr<http::Responder>> unanswered_;
};

}  // namespace turmeric::standins
