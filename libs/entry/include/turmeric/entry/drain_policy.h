#pragma once

#include <chrono>

namespace turmeric::entry {

/**
 * Whether an instance that is stopping takes a request that arrives now. A
 * stream that begins late in the stop would be cut off by its end; refused at
 * once, the caller gets it whole from another instance.
 * @param is_long true for streams and requests with stages, which last for
 *     seconds. @param since_stop time since the stop began.
 * @param grace time from then to the kill.
 * @return true if the request can be expected to end before the process.
 */
bool TakesWhileStopping(bool is_long, std::chrono::milliseconds since_stop,
                        std::chrono::milliseconds grace);

}  // namespace turmeric::entry
