#pragma once

namespace turmeric::entry {

/** What connections to an upstream show about its process. */
enum class ProcessState {
  kRuns,     ///< This instance or a peer has connected to it.
  kEnded,    ///< Its host refuses connections, and no partition explains it.
  kUnknown,  ///< Neither this instance nor a peer could tell.
};

}  // namespace turmeric::entry
