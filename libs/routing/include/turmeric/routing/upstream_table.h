#pragma once

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <span>
#include <string>
#include <string_view>
#include <tuple>
#include <unordered_map>
#include <utility>
#include <vector>

#include "turmeric/routing/upstream.h"

namespace turmeric::routing {

/**
 * The upstreams known to this instance, by id and by service. Updated from the
 * store's list and its changes. Holders of an UpstreamPtr keep an upstream's
 * history alive after it was dropped here. The caller passes in the time.
 */
class UpstreamTable {
 public:
  /** Called when an upstream starts to leave, and when it is dropped. */
  using LeaveCallback = std::function<void(const UpstreamPtr&)>;

  /** @param callback see LeaveCallback. */
  void set_on_leave(LeaveCallback callback) { on_leave_ = std::move(callback); }
  /**
   * Applies one entry. A later start under a known id, or another software
   * version, is a new upstream without history; an earlier start than the known
   * one is ignored. An upstream that drains stays draining until it restarts.
   * @param entry the entry, as listed.
   */
  void Put(const UpstreamEntry& entry);
  /**
   * Applies one entry of a store that was restored from an older copy. The
   * entry of an upstream that has left does not add the upstream again, unless
   * the entry is written again or still exists at `until`.
   * @param entry the entry, as listed. @param until time at which an entry that
   *     its process does not renew has expired.
   */
  void PutFromCopy(const UpstreamEntry& entry, Clock::time_point until);
  /**
   * Applies the removal of an entry.
   * @param id of the upstream. @param keep_until time until which the upstream
   *     stays in use: an entry that expired while the store was unreachable may
   *     be written again.
   */
  void Remove(std::string_view id, Clock::time_point keep_until);
  /**
   * Applies a full list.
   * @param entries the list. @param keep_until as for Remove, for entries
   *     missing from the list. @param copy_until as for PutFromCopy, if the
   *     store was restored from an older copy.
   */
  void ReplaceAll(std::span<const UpstreamEntry> entries,
                  Clock::time_point keep_until,
                  std::optional<Clock::time_point> copy_until = std::nullopt);
  /**
   * Called when an answer has stated that its upstream leaves.
   * @param upstream the upstream, whether still listed or not.
   */
  void OnStatedLeaving(const Upstream& upstream);
  /**
   * Sets the evacuated zones.
   * @param zones zones whose upstreams, present and future, receive no new
   *     work; the upstreams of all other zones may be used.
   */
  void SetEvacuated(std::set<std::string, std::less<>> zones);
  /** @return the evacuated zones. */
  const std::set<std::string, std::less<>>& evacuated() const {
    return evacuated_;
  }
  /** @param zone an availability zone. @return its upstreams. */
  std::vector<UpstreamPtr> InZone(std::string_view zone) const;
  /** Drops expired upstreams, and adds the upstreams of unconfirmed entries
   * that still exist at the time given to PutFromCopy. @param now current
   * time. */
  void Expire(Clock::time_point now);
  /** @param service its name. @return its upstreams, draining ones too. */
  std::span<const UpstreamPtr> ForService(const std::string& service) const;
  /** @param id an upstream. @return it, or nullptr. */
  UpstreamPtr Find(std::string_view id) const;
  /** @param service its name. @param address "ip:port".
   * @return the service's upstream there, or nullptr. */
  UpstreamPtr FindAt(const std::string& service,
                     std::string_view address) const;
  /** @return all upstreams, draining ones too. */
  std::vector<UpstreamPtr> All() const;
  /** @return upstreams in the table. */
  size_t size() const { return by_id_.size(); }

 private:
  /** Identifies a process: its id, process start and software version. */
  using ProcessKey = std::tuple<std::string, int64_t, std::string>;
  /** The statements of a process without an entry, which may be written
   * again. */
  struct DroppedProcess {
    std::shared_ptr<limits::StatedAvailability> availability;
    /** Set by the next call of Expire. */
    Clock::time_point forgotten_at = Clock::time_point::max();
  };

  /** An entry from an older copy of the store, of an upstream that has left. */
  struct UnconfirmedEntry {
    UpstreamEntry entry;
    Clock::time_point until;
  };

  void Add(const UpstreamEntry& entry);
  void Drop(UpstreamPtr upstream);
  void NoteDeparture(const UpstreamEntry& entry, Clock::time_point now);
  void ForgetDropped(Clock::time_point now);

  LeaveCallback on_leave_;
  std::map<std::string, UpstreamPtr, std::less<>> by_id_;
  /** Times of the recent removals of upstreams, by upstream id and process
   * start. */
  std::map<std::pair<std::string, int64_t>, Clock::time_point> departures_;
  /** Unconfirmed entries by upstream id. */
  std::map<std::string, UnconfirmedEntry, std::less<>> unconfirmed_;
  std::map<ProcessKey, DroppedProcess> dropped_;
  std::unordered_map<std::string, std::vector<UpstreamPtr>> by_service_;
  std::set<std::string, std::less<>> evacuated_;
};

}  // namespace turmeric::routing
