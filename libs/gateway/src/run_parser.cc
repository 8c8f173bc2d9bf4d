#include "turmeric/gateway/run_parser.h"

#include <QCryptographicHash>
#include <QJsonDocument>
#include <QJsonObject>
#include <QStringList>
#include <algorithm>

#include "turmeric/config/settings_tree.h"

namespace turmeric::gateway {

using utils::Errc;
using utils::Fail;

namespace {

constexpr std::string_view kRunVerb = ":run";
constexpr int kDefaultMaxTokens = 16;
constexpr qsizetype kMaxIdempotencyKeyBytes = 128;

/**
 * @return hash of the input and token limit; a key reused with another
 *     fingerprint belongs to another request.
 */
std::string Fingerprint(const RunRequest& run) {
  QCryptographicHash hash(QCryptographicHash::Sha256);
  hash.addData(QByteArray::fromStdString(run.input));
  hash.addData(QByteArray::number(run.max_tokens));
  return hash.result().toHex().left(32).toStdString();
}

}  // namespace

utils::Result<ParsedRunRequest> ParseRun(const RawRunRequest& raw,
                                         const config::SettingsTree& tree) {
  const QStringList parts =
      raw.path.mid(static_cast<qsizetype>(kRunPrefix.size())).split('/');
  const QString verb = QString::fromUtf8(
      kRunVerb.data(), static_cast<qsizetype>(kRunVerb.size()));
  if (parts.size() != 2 || !parts[1].endsWith(verb)) {
    return Fail(Errc::kBadRequest,
                "path must be /v1/pipelines/<business>/<pipeline>:run");
  }
  QJsonParseError error{};
  const QJsonDocument doc = QJsonDocument::fromJson(raw.body, &error);
  if (error.error != QJsonParseError::NoError || !doc.isObject()) {
    return Fail(Errc::kBadRequest, "body must be a JSON object");
  }
  const QJsonObject body = doc.object();
  auto resolved = tree.Resolve(
      parts[0].toStdString(), parts[1].chopped(verb.size()).toStdString(),
      body.value("organisation").toString().toStdString());
  if (!resolved) return resolved.error();
  ParsedRunRequest parsed;
  RunRequest& run = parsed.run;
  run.settings = std::move(resolved).value();
  const config::ResolvedSettings& s = run.settings;
  parsed.deadline_ms = body.value("deadline_ms").toInt(s.deadline_ms);
  if (parsed.deadline_ms <= 0 || parsed.deadline_ms > s.deadline_ms) {
    return Fail(Errc::kBadDeadline, "deadline_ms must be in (0, " +
                                        std::to_string(s.deadline_ms) + "]");
  }
  run.input = body.value("input").toString().toStdString();
  run.max_tokens = body.value("max_tokens").toInt(kDefaultMaxTokens);
  run.stream = body.value("stream").toBool(false);
  run.trace = utils::ChildContext(
      utils::ParseTraceparent(raw.traceparent.toStdString()));
  // Guard: a caller may omit "idempotent": false for a pipeline that prints. A
  // retry would then print twice, so the stages' settings take precedence.
  const bool stages_idempotent =
      std::ranges::all_of(s.stages, &config::StageSpec::idempotent);
  parsed.idempotent =
      stages_idempotent && body.value("idempotent").toBool(true);
  if (parsed.idempotent) return parsed;
  if (stages_idempotent) {
    // Guard: the caller marked the request as non-idempotent although its
    // stages are idempotent by the settings. They must not be retried or
    // hedged.
    std::ranges::for_each(run.settings.stages, [](config::StageSpec& stage) {
      stage.idempotent = false;
    });
  }
  const QByteArray key = raw.idempotency_key.isEmpty()
                             ? body.value("idempotency_key").toString().toUtf8()
                             : raw.idempotency_key;
  if (key.isEmpty()) {
    return Fail(Errc::kMissingIdempotencyKey,
                "a non-idempotent request needs an Idempotency-Key");
  }
  if (key.size() > kMaxIdempotencyKeyBytes) {
    return Fail(Errc::kBadRequest,
                "Idempotency-Key exceeds the limit in bytes: " +
                    std::to_string(kMaxIdempotencyKeyBytes));
  }
  run.idempotency_key =
      QualifiedKey(s.business, s.organisation, s.pipeline, key.toStdString());
  parsed.subject = {ClaimStoreKey(run.idempotency_key), Fingerprint(run)};
  return parsed;
}

}  // namespace turmeric::gateway
