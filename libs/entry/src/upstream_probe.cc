#include "turmeric/entry/upstream_probe.h"

#include <chrono>
#include <utility>

#include "turmeric/http/tcp_socket.h"

namespace turmeric::entry {

namespace {

/**
 * A refusal arrives within a few milliseconds. The limit bounds the delay of
 * the retries that wait for the result.
 */
constexpr std::chrono::milliseconds kProbeTimeout{100};

}  // namespace

std::string ProcessStartId(const routing::UpstreamEntry& entry) {
  if (entry.started_unix_ms == 0) return entry.id;
  return entry.id + "@" + std::to_string(entry.started_unix_ms);
}

UpstreamProbe::UpstreamProbe() = default;
UpstreamProbe::~UpstreamProbe() = default;

void UpstreamProbe::Probe(const routing::UpstreamPtr& upstream, Callback done) {
  const std::string start = ProcessStartId(upstream->entry);
  PendingProbe& probe = pending_[start];
  probe.callbacks.push_back(std::move(done));
  if (probe.socket != nullptr) return;
  probe.socket = new http::TcpSocket(
      http::ParseEndpoint(upstream->entry.address), kProbeTimeout, this);
  probe.socket->set_events(
      {.on_connected = [this,
                        start] { Complete(start, ProbeResult::kConnected); },
       .on_bytes = {},
       .on_end =
           [this, start](http::SocketEnd) {
             const bool refused =
                 pending_.at(start).socket->connection_refused();
             Complete(start,
                      refused ? ProbeResult::kRefused : ProbeResult::kTimeout);
           },
       .on_drained = {}});
}

void UpstreamProbe::Complete(const std::string& start, ProbeResult result) {
  const auto it = pending_.find(start);
  if (it == pending_.end()) return;
  const PendingProbe probe = std::move(it->second);
  pending_.erase(it);
  probe.socket->Abort();
  probe.socket->deleteLater();
  for (const Callback& done : probe.callbacks) done(result);
}

}  // namespace turmeric::entry
