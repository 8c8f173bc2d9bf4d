#pragma once

#include <chrono>
#include <cstddef>
#include <span>
#include <string_view>

namespace turmeric::utils {
class LogInterval;
}

namespace turmeric::http {

class ServerConnection;

/** Memory of one connection and its request without the bytes of the request:
 * objects, timers, log fields. */
inline constexpr size_t kConnectionBytes = 8 * 1024;

/** A connection that was closed for a new one; it is destroyed later. */
struct ClosedConnection {
  ServerConnection* connection = nullptr;  ///< nullptr: none was closed.
  std::string_view state;                  ///< "idle", "refused" or "partial".
};

/**
 * Closes a connection so that a new one has room: the one that has been idle
 * the longest; else the one that was refused first, of which the client has not
 * read the refusal; else the one that has been in the middle of a small request
 * for the longest. One that is idle or in the middle of a request is closed
 * after half a second, as a request may be on its way.
 * @param connections the open connections of a server. @param now the present
 * time.
 * @return what was closed.
 */
ClosedConnection CloseForNew(std::span<ServerConnection* const> connections,
                             std::chrono::steady_clock::time_point now);

/**
 * Logs a connection that was closed for a new one, at most once an interval.
 * @param closed the connection. @param open_connections of the server, with it.
 * @param interval counts the connections between two lines. @param now the
 * present time.
 */
void LogClosedForNew(const ClosedConnection& closed, size_t open_connections,
                     utils::LogInterval& interval,
                     std::chrono::steady_clock::time_point now);

}  // namespace turmeric::http
