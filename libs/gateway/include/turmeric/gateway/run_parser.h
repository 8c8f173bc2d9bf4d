#pragma once

#include <QByteArray>
#include <QString>
#include <string_view>

#include "turmeric/gateway/claim.h"
#include "turmeric/gateway/pipeline_run.h"
#include "turmeric/utils/result.h"

namespace turmeric::config {
class SettingsTree;
}

namespace turmeric::gateway {

/** Path prefix of run requests. */
inline constexpr std::string_view kRunPrefix = "/v1/pipelines/";

/** The parts of a caller's HTTP request that define a run. */
struct RawRunRequest {
  QString path;  ///< /v1/pipelines/<business>/<pipeline>:run
  QByteArray body;
  QByteArray idempotency_key;  ///< Header value, may be empty.
  QByteArray traceparent;      ///< Header value, may be empty.
};

/** A validated run request. */
struct ParsedRunRequest {
  RunRequest run;  ///< Request id and deadline are not set.
  int deadline_ms = 0;
  bool idempotent = true;
  ClaimSubject subject;  ///< Set only if not idempotent.
};

/**
 * Validates a run request against the settings in force.
 * @param raw HTTP request of the caller.
 * @param tree the settings tree.
 * @return the request, or a 1xxx code; nothing ran.
 */
utils::Result<ParsedRunRequest> ParseRun(const RawRunRequest& raw,
                                         const config::SettingsTree& tree);

}  // namespace turmeric::gateway
