#pragma once

#include <string>

#include "turmeric/http/client_connection.h"

namespace turmeric::entry {

struct WireFormat;

/**
 * @param wire decodes the answer; must outlive the binding.
 * @param id sent with a request.
 * @return the binding of the request to the answer that echoes its id.
 */
http::ResponseBinding BindAnswer(const WireFormat& wire, std::string id);

/** @return an id for a call that this instance makes on its own, unique in the
 * fleet. */
std::string NewCallId();

}  // namespace turmeric::entry
