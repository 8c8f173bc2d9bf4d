#pragma once

#include <memory>
#include <string>

#include "turmeric/store/object_source.h"

namespace turmeric::entry {

class EntryMetrics;

/**
 * Decorates the platform's object API with a counter of calls by kind and
 * outcome. The platform bills each call, including those it refuses.
 */
class CountedSource : public store::ObjectSource {
 public:
  /**
   * @param source performs the calls.
   * @param metrics receives the counts; must outlive this.
   */
  CountedSource(std::unique_ptr<store::ObjectSource> source,
                EntryMetrics& metrics);

  void List(const std::string& kind, Freshness freshness,
            store::SourceCallback done) override;
  void Watch(const std::string& kind, int64_t after_revision,
             std::chrono::milliseconds wait,
             store::SourceCallback done) override;
  void Put(const std::string& kind, const std::string& name,
           const QJsonObject& spec, store::SourceCallback done) override;

 private:
  store::SourceCallback Counted(std::string kind, std::string call,
                                store::SourceCallback done);

  std::unique_ptr<store::ObjectSource> source_;
  EntryMetrics& metrics_;
};

}  // namespace turmeric::entry
