#include "turmeric/entry/counted_source.h"

#include <utility>

#include "turmeric/entry/entry_metrics.h"

namespace turmeric::entry {

using store::SourceBatch;
using store::SourceCallback;

CountedSource::CountedSource(std::unique_ptr<store::ObjectSource> source,
                             EntryMetrics& metrics)
    : source_(std::move(source)), metrics_(metrics) {}

SourceCallback CountedSource::Counted(std::string kind, std::string call,
                                      SourceCallback done) {
  return [this, kind = std::move(kind), call = std::move(call),
          done = std::move(done)](utils::Result<SourceBatch> batch) {
    const std::string outcome =
        batch ? "ok" : std::to_string(static_cast<int>(batch.error().code));
    metrics_.OnStoreCall(kind, call, outcome);
    done(std::move(batch));
  };
}

void CountedSource::List(const std::string& kind, Freshness freshness,
                         SourceCallback done) {
  const bool stale = freshness == Freshness::kMayBeStale;
  source_->List(kind, freshness,
                Counted(kind, stale ? "stale_list" : "list", std::move(done)));
}

void CountedSource::Watch(const std::string& kind, int64_t after_revision,
                          std::chrono::milliseconds wait, SourceCallback done) {
  source_->Watch(kind, after_revision, wait,
                 Counted(kind, "watch", std::move(done)));
}

void CountedSource::Put(const std::string& kind, const std::string& name,
                        const QJsonObject& spec, SourceCallback done) {
  source_->Put(kind, name, spec, Counted(kind, "put", std::move(done)));
}

}  // namespace turmeric::entry
