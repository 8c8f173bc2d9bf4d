#pragma once

#include "turmeric/utils/result.h"

namespace turmeric::daemon {

/** Writes the code number, name and detail of an error to standard error. */
void ReportError(const utils::Error& error);

}  // namespace turmeric::daemon
