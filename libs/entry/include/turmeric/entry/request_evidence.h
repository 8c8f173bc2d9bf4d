#pragma once

#include <chrono>
#include <optional>
#include <string>

#include "turmeric/quarantine/crash_ledger.h"

namespace turmeric::entry {

struct EntryContext;
struct InterruptedRequest;

/**
 * Connects one request to the quarantine: whether it is refused, and what its
 * sends show about its traits.
 */
class RequestEvidence {
 public:
  using Clock = quarantine::Clock;

  /** @param context the instance's state; must outlive this. */
  explicit RequestEvidence(const EntryContext& context) : context_(context) {}

  /** @param traits of the request. @param request_id its id, for the log. */
  void SetRequest(quarantine::RequestTraits traits, std::string request_id);
  /** @param service that is to run the request. */
  void set_service(std::string service) { service_ = std::move(service); }
  const quarantine::RequestTraits& traits() const { return traits_; }

  /** @return time for which the request is refused; nullopt if it is not
   * quarantined. The first result is logged with its cause. */
  std::optional<std::chrono::milliseconds> RemainingQuarantine() const;
  /** Called for each send, before it; the request may become a trial. */
  void OnSend();
  /** Called for each part of a stream with new events. A request on which an
   * upstream has been writing for a while clears its prompt parts. @param now
   * current time. */
  void OnEvents(Clock::time_point now);
  /** Called for a whole answer. @param status of the answer. @param now current
   * time. */
  void OnAnswered(int status, Clock::time_point now) const;
  /** @return the request as interrupted in its last send. */
  InterruptedRequest Interrupted() const;

 private:
  quarantine::ServiceRequest request() const {
    return {.traits = traits_, .service = service_};
  }

  const EntryContext& context_;
  quarantine::RequestTraits traits_;
  std::string request_id_;
  std::string service_;
  bool is_trial_ = false;
  /** Time of the first events of the last send. */
  std::optional<Clock::time_point> first_events_at_;
  bool progressed_ = false;  ///< The last send clears the prompt parts.
};

}  // namespace turmeric::entry
