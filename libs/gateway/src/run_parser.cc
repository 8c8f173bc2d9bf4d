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
constexpr qsizetype kMaxIdempotencyKey = 128;

/** What a key stands for: same key, other fingerprint is another request. */
std::string Fingerprint(const RunRequest& run) {
  QCryptographicHash hash(QCryptographicHash::Sha256);
  hash.addData(QByteArray::fromStdString(run.input));
  hash.addData(QByteArray::number(run.max_tokens));
  return hash.result().toHex().left(32).toStdString();
}

}  // namespace

utils::Result<ParsedRun> ParseRun(const RawRun& raw,
                                  const config::SettingsTree& tree) {
  const QStringList parts =
      raw.path.mid(static_cast<qsizetype>(kRunPrefix.size())).split('/');
  const QString verb = QString::fromUtf8(
      kRunVerb.data(), static_cast<qsizetype>(kRunVerb.size()));
  if (parts.size() != 2 || !parts[1].endsWith(verb)) {
    return Fail(Errc::kBadRequest,
                "want /v1/pipelines/<business>/<pipeline>:run");
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
  ParsedRun parsed;
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
  // Guard: a caller may leave out "idempotent" on a pipeline that prints.
  // Believed, its retry would print again; the stages say what may repeat.
  const bool stages_repeatable =
      std::ranges::all_of(s.stages, &config::StageSpec::idempotent);
  parsed.idempotent =
      stages_repeatable && body.value("idempotent").toBool(true);
  if (parsed.idempotent) return parsed;
  if (stages_repeatable) {
    // Guard: what the caller marked must not run twice, although the
    // settings would let its stages be retried and hedged.
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
  if (key.size() > kMaxIdempotencyKey) {
    return Fail(Errc::kBadRequest, "Idempotency-Key is longer than " +
                                       std::to_string(kMaxIdempotencyKey));
  }
  run.idempotency_key =
      QualifiedKey(s.business, s.organisation, s.pipeline, key.toStdString());
  parsed.subject = {ClaimStoreKey(run.idempotency_key), Fingerprint(run)};
  return parsed;
}

}  // namespace turmeric::gateway
