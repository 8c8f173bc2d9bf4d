#include "report_error.h"

#include <iostream>

namespace turmeric::daemon {

void ReportError(const utils::Error& error) {
  std::cerr << "error " << static_cast<int>(error.code) << " "
            << utils::ErrcName(error.code) << ": " << error.detail << "\n";
}

}  // namespace turmeric::daemon
