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

/** The parts of a caller's HTTP request that say what to run. */
struct RawRun {
  QString path;  ///< /v1/pipelines/<business>/<pipeline>:run
  QByteArray body;
  QByteArray idempotency_key;  ///< Header, may be empty.
  QByteArray traceparent;      ///< Header, may be empty.
};

/** A checked run request. */
struct ParsedRun {
  RunRequest run;  ///< Without request id and deadline.
  int deadline_ms = 0;
  bool idempotent = true;
  ClaimSubject subject;  ///< If not idempotent.
};

/**
 * Checks a run request against the settings in force.
 * @param raw the caller's request. @param tree the settings tree.
 * @return the request, or a 1xxx code; nothing was run.
 */
utils::Result<ParsedRun> ParseRun(const RawRun& raw,
                                  const config::SettingsTree& tree);

}  // namespace turmeric::gateway
