#pragma once

#include <QObject>
#include <QTimer>
#include <cstddef>
#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "turmeric/entry/upstream_client.h"
#include "turmeric/routing/upstream.h"

namespace turmeric::entry {

struct EntryContext;

/**
 * One call that releases stage results at the upstream that holds them. Its
 * time and the size of the answer are bounded. Deletes itself when it ends.
 */
class ReleaseCall : public QObject {
 public:
  /**
   * @param context the instance's state; must outlive this.
   * @param holder the upstream. @param on_end called once, also if the call
   * fails.
   * @param parent Qt owner.
   */
  ReleaseCall(EntryContext& context, routing::UpstreamPtr holder,
              std::function<void()> on_end, QObject* parent);

  /** Sends the call. @param address of the upstream. @param handles the results
   * to release. */
  void Start(const std::string& address,
             const std::vector<std::string>& handles);

 private:
  http::ExchangeEvents AnswerEvents();
  void OnBody(std::string_view bytes);
  /** Ends the call without an answer. */
  void Fail(std::string_view why);
  void End();

  EntryContext& context_;
  routing::UpstreamPtr holder_;
  std::function<void()> on_end_;
  std::shared_ptr<UpstreamExchange> exchange_;
  routing::Clock::time_point sent_at_;
  size_t answer_bytes_ = 0;
  QTimer timeout_timer_;
};

}  // namespace turmeric::entry
