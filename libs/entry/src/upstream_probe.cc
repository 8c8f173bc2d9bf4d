#include "turmeric/entry/upstream_probe.h"

#include <chrono>
#include <utility>

#include "turmeric/http/tcp_socket.h"

namespace turmeric::entry {

namespace {

/** A refusal is back in a few milliseconds. A request that waits to be sent
 * again is not held up for longer. */
constexpr std::chrono::milliseconds kAnswerWithin{100};

}  // namespace

std::string StartOf(const routing::UpstreamEntry& entry) {
  if (entry.started_unix_ms == 0) return entry.id;
  return entry.id + "@" + std::to_string(entry.started_unix_ms);
}

UpstreamProbe::UpstreamProbe() = default;
UpstreamProbe::~UpstreamProbe() = default;

void UpstreamProbe::Ask(const routing::UpstreamPtr& upstream, Answer done) {
  const std::string start = StartOf(upstream->entry);
  Open& open = open_[start];
  open.waiting.push_back(std::move(done));
  if (open.socket != nullptr) return;
  open.socket = new http::TcpSocket(
      http::ParseEndpoint(upstream->entry.address), kAnswerWithin, this);
  open.socket->set_events(
      {.on_connected = [this, start] { End(start, false); },
       .on_bytes = {},
       .on_end =
           [this, start](http::SocketEnd) {
             End(start, open_.at(start).socket->connection_refused());
           },
       .on_drained = {}});
}

void UpstreamProbe::End(const std::string& start, bool has_ended) {
  const auto it = open_.find(start);
  if (it == open_.end()) return;
  const Open open = std::move(it->second);
  open_.erase(it);
  open.socket->Abort();
  open.socket->deleteLater();
  for (const Answer& done : open.waiting) done(has_ended);
}

}  // namespace turmeric::entry
