#pragma once

#include <QObject>
#include <QTimer>
#include <functional>
#include <memory>
#include <optional>
#include <span>

#include "turmeric/routing/upstream.h"
#include "turmeric/store/reflector.h"

namespace turmeric::entry {

struct EntryContext;
struct PlatformLink;

/**
 * Keeps an instance's route table and upstreams as the store has them. A
 * table is replaced only by one of a higher version, so an accepted
 * configuration never reverts, whatever a read returns.
 */
class TopologyFeed : public QObject {
 public:
  /** @param context what is kept up to date. @param link the platform. */
  TopologyFeed(EntryContext& context, PlatformLink& link);
  ~TopologyFeed() override;

  /** Begins to follow the store. */
  void Start();
  /** @return true once both a table and the upstreams were read. */
  bool complete() const;
  /** @param callback called when complete() turns true. */
  void set_on_complete(std::function<void()> callback) {
    on_complete_ = std::move(callback);
  }

 private:
  void OnConfig(const store::SourceObject& object);
  void OnUpstreamList(std::span<const store::SourceObject> objects,
                      std::chrono::milliseconds outage);
  void OnUpstreamChange(const store::SourceObject& object,
                        std::chrono::milliseconds outage);
  std::optional<routing::UpstreamEntry> ReadEntry(
      const store::SourceObject& object);
  void OnReachable(const std::string& what, bool reachable,
                   const std::string& why);
  void NoteComplete();
  /** Till when an entry that is missing after an outage is still used. */
  std::chrono::steady_clock::time_point KeepTill(
      std::chrono::milliseconds outage);

  EntryContext& context_;
  PlatformLink& link_;
  std::unique_ptr<store::Reflector> config_;
  std::unique_ptr<store::Reflector> upstreams_;
  std::chrono::steady_clock::time_point outage_over_;
  std::function<void()> on_complete_;
  QTimer expire_;
};

}  // namespace turmeric::entry
