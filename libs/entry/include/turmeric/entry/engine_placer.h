#pragma once

#include <QObject>
#include <QTimer>
#include <cstdint>
#include <functional>
#include <map>
#include <span>
#include <string>
#include <string_view>

#include "turmeric/peer/frame.h"
#include "turmeric/routing/upstream.h"

namespace turmeric::entry {

struct EntryContext;
class InstanceLinks;
class PlacementDesk;

/**
 * Finds engines for this instance's requests: asks the instance that owns the
 * engines' cell, which sees the load of all instances; without an answer in
 * time it chooses by what is known here.
 */
class EnginePlacer : public QObject {
 public:
  /** Told the engine; nullptr: none is left. */
  using Chosen = std::function<void(const routing::UpstreamPtr&)>;

  /** @param context the instance's state. @param links to the other
   * instances. @param desk places what this instance owns. All must outlive
   * this. */
  EnginePlacer(EntryContext& context, InstanceLinks& links,
               PlacementDesk& desk);
  ~EnginePlacer() override;

  /** @return a ticket for one request's placement. */
  uint64_t NewTicket() { return next_ticket_++; }
  /**
   * @param order what is wanted, by a ticket of ours; its service is the
   *     engines' service. @param done called once, at once or later.
   */
  void Choose(peer::PlacementOrder order, Chosen done);
  /** @param ticket of a request whose answer has begun. */
  void PromptRead(uint64_t ticket);
  /** @param end a request that has ended, or needs no engine any more. */
  void End(const peer::PlacementEnd& end);
  /** Answers of another instance. */
  void OnPlaced(std::span<const peer::Placed> placed);
  /** @param owner an instance that no longer answers. */
  void OnOwnerLost(std::string_view owner);

 private:
  struct Open;

  void ChooseHere(uint64_t ticket, std::string_view why);
  bool IsUsable(const Open& open, const routing::UpstreamPtr& engine) const;
  void Answer(uint64_t ticket, const routing::UpstreamPtr& engine);
  void CheckOverdue();

  EntryContext& context_;
  InstanceLinks& links_;
  PlacementDesk& desk_;
  std::map<uint64_t, Open> open_;  ///< By ticket: in the order of asking.
  QTimer overdue_;
  uint64_t next_ticket_ = 1;
};

}  // namespace turmeric::entry
