#pragma once

#include <functional>
#include <map>
#include <optional>
#include <set>
#include <span>
#include <string>
#include <string_view>
#include <unordered_map>
#include <utility>
#include <vector>

#include "turmeric/routing/upstream.h"

namespace turmeric::routing {

/**
 * The upstreams known to this instance, by id and by service. Fed by a list
 * and its changes; keeps an upstream's history for as long as anyone holds
 * it. Time is passed in.
 */
class UpstreamTable {
 public:
  /** Called when an upstream may get no more work (left or leaving). */
  using LeaveCallback = std::function<void(const UpstreamPtr&)>;

  /** @param callback see LeaveCallback. */
  void set_on_leave(LeaveCallback callback) { on_leave_ = std::move(callback); }
  /**
   * Applies one entry. A later start under a known id is a new upstream
   * without history; an earlier start than the known one changes nothing, and
   * one that has begun to leave goes on leaving.
   * @param entry the entry, as listed.
   */
  void Put(const UpstreamEntry& entry);
  /**
   * Applies one entry of a store that came back from an older copy. An upstream
   * that has left stays away, unless the entry changes again or is still there
   * when it would have lapsed.
   * @param entry the entry, as listed. @param till when it would have.
   */
  void PutFromCopy(const UpstreamEntry& entry, Clock::time_point till);
  /**
   * An entry was removed.
   * @param id its id. @param keep_till still used till then: an entry that
   *     lapsed while the store was away may come back.
   */
  void Remove(std::string_view id, Clock::time_point keep_till);
  /**
   * Replaces everything by a full list.
   * @param entries the list. @param keep_till as for Remove, for entries
   *     that the list lacks. @param copy_till as for PutFromCopy, if the store
   *     came back from an older copy.
   */
  void ReplaceAll(std::span<const UpstreamEntry> entries,
                  Clock::time_point keep_till,
                  std::optional<Clock::time_point> copy_till = std::nullopt);
  /**
   * @param zones whose upstreams, those of now and those to come, get nothing
   *     new; the upstreams of other zones are used again.
   */
  void SetEvacuated(std::set<std::string, std::less<>> zones);
  /** @return the zones that were set. */
  const std::set<std::string, std::less<>>& evacuated() const {
    return evacuated_;
  }
  /** @param zone an availability zone. @return its upstreams. */
  std::vector<UpstreamPtr> InZone(std::string_view zone) const;
  /** Drops entries whose time has run out. @param now the time. */
  void Expire(Clock::time_point now);
  /** @param service its name. @return its upstreams, leaving ones too. */
  std::span<const UpstreamPtr> ForService(const std::string& service) const;
  /** @param id an upstream. @return it, or nullptr. */
  UpstreamPtr Find(std::string_view id) const;
  /** @param service its name. @param address "ip:port".
   * @return the service's upstream there, or nullptr. */
  UpstreamPtr FindAt(const std::string& service,
                     std::string_view address) const;
  /** @return entries held. */
  size_t size() const { return by_id_.size(); }

 private:
  /** An entry of an older copy, of an upstream that has left. */
  struct Doubted {
    UpstreamEntry entry;
    Clock::time_point till;
  };

  void Add(const UpstreamEntry& entry);
  void Drop(UpstreamPtr upstream);
  void NoteLeft(const UpstreamEntry& entry, Clock::time_point now);

  LeaveCallback on_leave_;
  std::map<std::string, UpstreamPtr, std::less<>> by_id_;
  /** When the upstreams left that did so lately, by start. */
  std::map<std::pair<std::string, int64_t>, Clock::time_point> left_;
  std::map<std::string, Doubted, std::less<>> doubted_;  ///< By id.
  std::unordered_map<std::string, std::vector<UpstreamPtr>> by_service_;
  std::set<std::string, std::less<>> evacuated_;
};

}  // namespace turmeric::routing
