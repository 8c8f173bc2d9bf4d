#include "turmeric/http/connection_limit.h"

#include <algorithm>
#include <optional>

#include "turmeric/http/server_connection.h"
#include "turmeric/memory/reception.h"
#include "turmeric/utils/decision_log.h"
#include "turmeric/utils/log_interval.h"

namespace turmeric::http {

namespace {

using TimePoint = std::chrono::steady_clock::time_point;

/** Least time for which a connection is idle, or in the middle of a request,
 * before it is closed for a new one. */
constexpr std::chrono::milliseconds kLeastTime{500};

/**
 * @param since returns the time since which a connection is in the state in
 * question; nullopt: it is not.
 * @return the connection with the earliest time, `latest` at most; nullptr:
 * none.
 */
template <class Since>
ServerConnection* Earliest(std::span<ServerConnection* const> connections,
                           TimePoint latest, Since since) {
  const auto order = [&](const ServerConnection* connection) {
    return since(*connection).value_or(TimePoint::max());
  };
  const auto it = std::ranges::min_element(connections, {}, order);
  if (it == connections.end() || order(*it) > latest) return nullptr;
  return *it;
}

}  // namespace

ClosedConnection CloseForNew(std::span<ServerConnection* const> connections,
                             TimePoint now) {
  ServerConnection* const idle =
      Earliest(connections, now - kLeastTime,
               [](const ServerConnection& c) { return c.idle_since(); });
  if (idle != nullptr && idle->CloseIfIdle()) return {idle, "idle"};
  ServerConnection* const refused =
      Earliest(connections, now,
               [](const ServerConnection& c) { return c.refused_at(); });
  if (refused != nullptr) {
    refused->CutOff();
    return {refused, "refused"};
  }
  ServerConnection* const partial =
      Earliest(connections, now - kLeastTime, [](const ServerConnection& c) {
        const bool is_partial = c.reading() && !memory::IsLarge(c.expected());
        return is_partial ? std::optional(c.reading_since()) : std::nullopt;
      });
  if (partial == nullptr) return {};
  partial->CutOff();
  return {partial, "partial"};
}

void LogClosedForNew(const ClosedConnection& closed, size_t open_connections,
                     utils::LogInterval& interval, TimePoint now) {
  const auto connections = interval.Count(now);
  if (!connections) return;
  utils::DecisionLog("caller_closed_for_new")
      .Add("connections", *connections)
      .Add("caller_connection", closed.connection->id())
      .Add("state", closed.state)
      .Add("open_callers", open_connections);
}

}  // namespace turmeric::http
