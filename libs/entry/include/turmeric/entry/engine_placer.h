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
class PlacementCoordinator;

/**
 * Finds engines for the requests of this instance: sends a placement order to
 * the instance that owns the cell and therefore knows the load caused by all
 * instances. If the owner does not respond in time, chooses an engine from the
 * state known to this instance.
 */
class EnginePlacer : public QObject {
 public:
  /** Receives the engine; nullptr: no engine may receive the request. */
  using ChosenCallback = std::function<void(const routing::UpstreamPtr&)>;

  /**
   * The referenced objects must outlive this.
   * @param context the instance's state.
   * @param links connections to the other instances.
   * @param coordinator places requests on the cells that this instance owns.
   */
  EnginePlacer(EntryContext& context, InstanceLinks& links,
               PlacementCoordinator& coordinator);
  ~EnginePlacer() override;

  /** @return a new ticket, which identifies the placement of one request. */
  uint64_t NewTicket() { return next_ticket_++; }
  /**
   * Chooses an engine.
   * @param order the order, with a ticket from NewTicket and the name of the
   *     engine service as its service.
   * @param done called once, from inside this call or later.
   * @param spread_key selects the cell of a request without a prompt.
   */
  void Choose(peer::PlacementOrder order, ChosenCallback done,
              const std::string& spread_key = {});
  /** @param ticket of a request whose response has begun. */
  void OnPromptRead(uint64_t ticket);
  /** @param end a request that has ended or no longer needs an engine. */
  void End(const peer::PlacementEnd& end);
  /** @param placed results of placement orders, received from their owner. */
  void OnPlaced(std::span<const peer::Placed> placed);
  /** @param owner an instance whose connection has ended. */
  void OnOwnerLost(std::string_view owner);

 private:
  struct OpenPlacement;

  void ChooseLocally(uint64_t ticket, std::string_view why);
  bool IsUsable(const OpenPlacement& open,
                const routing::UpstreamPtr& engine) const;
  void Complete(uint64_t ticket, const routing::UpstreamPtr& engine);
  void CheckOverdue();

  EntryContext& context_;
  InstanceLinks& links_;
  PlacementCoordinator& coordinator_;
  /** By ticket, that is, in the order of creation. */
  std::map<uint64_t, OpenPlacement> open_;
  QTimer overdue_timer_;
  uint64_t next_ticket_ = 1;
};

}  // namespace turmeric::entry
