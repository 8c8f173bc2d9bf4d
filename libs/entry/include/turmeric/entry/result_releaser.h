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
 * Tells upstreams which results nothing needs any more. Releases for one
 * upstream that come within some milliseconds go out in one call.
 */
class ResultReleases : public QObject {
 public:
  /** Told that results no longer take up room at their holder. */
  using Released = std::function<void(const std::string& shard,
                                      const std::vector<std::string>& handles)>;

  /** @param context the instance's state; must outlive this.
   * @param released told of each release that has ended. */
  ResultReleases(EntryContext& context, Released released);

  /** @param shard the results' shard. @param handles the results. */
  void Add(const std::string& shard, std::vector<std::string> handles);

 private:
  void Flush();
  void Send(const std::string& shard, const std::string& address,
            std::vector<std::string> handles);

  EntryContext& context_;
  Released released_;
  /** What is to be released, by shard and the address that holds it. */
  std::map<std::pair<std::string, std::string>, std::vector<std::string>>
      waiting_;
  QTimer flush_;
};

}  // namespace turmeric::entry
