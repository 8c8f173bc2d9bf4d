#pragma once

#include "turmeric/utils/result.h"

namespace turmeric::daemon {

/** Writes a numbered error to standard error. @param error the error. */
void ReportError(const utils::Error& error);

}  // namespace turmeric::daemon
