#pragma once

#include <QObject>
#include <QTimer>
#include <functional>
#include <map>
#include <string>
#include <utility>
#include <vector>

namespace turmeric::entry {

struct EntryContext;

/**
 * Notifies upstreams of stage results that are no longer needed. Releases for
 * one upstream within some milliseconds are batched into one call.
 */
class ResultReleaser : public QObject {
 public:
  /**
   * Called when a release call has ended, also if it failed: the results are
   * then no longer counted as used memory of the upstream. Not called for an
   * upstream that receives no release call because it is evacuated or no longer
   * known.
   */
  using ReleasedCallback = std::function<void(
      const std::string& shard, const std::vector<std::string>& handles)>;

  /**
   * @param context the instance's state; must outlive this.
   * @param on_released called for each release call that has ended.
   */
  ResultReleaser(EntryContext& context, ReleasedCallback on_released);

  /**
   * @param shard the shard of the upstreams that made the results.
   * @param handles the results to release.
   */
  void Add(const std::string& shard, std::vector<std::string> handles);

 private:
  void Flush();
  void Send(const std::string& shard, const std::string& address,
            const std::vector<std::string>& handles);

  EntryContext& context_;
  ReleasedCallback on_released_;
  /**
   * Results to release, by shard and address of the upstream that holds them.
   */
  std::map<std::pair<std::string, std::string>, std::vector<std::string>>
      pending_;
  QTimer flush_timer_;
};

}  // namespace turmeric::entry
