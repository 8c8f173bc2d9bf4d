#pragma once

#include <chrono>
#include <cstdint>
#include <map>
#include <optional>
#include <random>
#include <span>
#include <string>
#include <vector>

#include "turmeric/membership/member.h"

namespace turmeric::membership {

/** Timing and fan-out of the protocol. */
struct MembershipOptions {
  std::chrono::milliseconds probe_period{1000};
  std::chrono::milliseconds ack_timeout{300};
  /** Lower bound: the timeout grows with the logarithm of the fleet size, as
   * the time for an update to reach all instances does. */
  std::chrono::milliseconds suspect_timeout{4000};
  /** How long after its last state change a dead or leaving member that is not
   * in the roster is kept, so that late updates on it are recognised as old. */
  std::chrono::milliseconds dead_retention{60000};
  /** Interval at which one dead or leaving member of the roster is pinged. */
  std::chrono::milliseconds reconnect_period{10000};
  int indirect_probes = 3;  ///< Instances asked to probe when a probe fails.
  int updates_per_message = 8;  ///< Largest number of updates in one message.
};

/** A datagram to send. */
struct Datagram {
  Address to;
  std::vector<uint8_t> bytes;
};

/**
 * SWIM-style membership of entry instances. Each instance probes one other
 * instance per period, requests indirect probes from a few others before it
 * suspects the target, and disseminates updates on the messages of the probes.
 * The class is a state machine without sockets or a clock, so that it runs
 * deterministically in tests. Not thread-safe.
 * After Das, Gupta and Motivala, "SWIM: Scalable Weakly-consistent
 * Infection-style Process Group Membership Protocol" (DSN 2002).
 */
class Membership {
 public:
  using Clock = std::chrono::steady_clock;

  /**
   * @param self this instance. Its incarnation should be higher than those of
   *     its earlier process starts (e.g. the current time); if it is not, it is
   *     raised when a peer reports a higher one.
   * @param options timing and fan-out. @param seed seed of random choices.
   */
  Membership(Member self, MembershipOptions options, uint64_t seed);

  /**
   * Sets the roster: the instances that the store lists. An instance not known
   * yet counts as alive until a probe of it fails. Dead instances are kept as
   * long as the roster contains them.
   * @param roster instances, with or without this one.
   * @param now current time.
   */
  void SetRoster(std::vector<Member> roster, Clock::time_point now);
  /** Runs the timers; to be called about every 100 ms. @param now current
   * time. @return datagrams to send. */
  std::vector<Datagram> Tick(Clock::time_point now);
  /**
   * Processes a received datagram.
   * @param bytes a datagram of any origin; malformed ones are counted and
   *     dropped.
   * @param now current time. @return datagrams to send.
   */
  std::vector<Datagram> OnDatagram(std::span<const uint8_t> bytes,
                                   Clock::time_point now);
  /** Announces to a few peers that this instance is stopping. @return datagrams
   * to send before the stop. */
  std::vector<Datagram> Leave();

  /** @return the alive or suspect peers, sorted by name. */
  std::vector<Member> LiveMembers() const;
  /** @return the number of alive or suspect instances, including this one. */
  int live_count() const { return live_count_; }
  /** @return this instance as it is sent to peers. */
  const Member& self() const { return self_; }
  /** @return the number of malformed datagrams received. */
  int64_t malformed() const { return malformed_; }

 private:
  /** A peer with its dissemination state. */
  struct MemberEntry {
    Member member;
    Clock::time_point since;  ///< Time at which the present state was set.
    int sends_left = 0;  ///< Number of further messages that carry the update.
  };
  /** A probe of this instance that is not acknowledged yet. */
  struct Probe {
    std::string target;
    uint64_t sequence = 0;
    Clock::time_point sent;
    bool indirect_requested = false;
  };
  /** A probe that this instance makes at the request of a peer. */
  struct IndirectProbe {
    Address requester;
    uint64_t requester_sequence = 0;
    Clock::time_point sent;
  };

  void Apply(const Member& update, Clock::time_point now);
  void SetState(MemberEntry& entry, MemberState state, Clock::time_point now);
  void AdvanceProbe(Clock::time_point now, std::vector<Datagram>& out);
  void StartProbe(Clock::time_point now, std::vector<Datagram>& out);
  void RequestIndirectProbes(std::vector<Datagram>& out);
  void PingDeadMember(Clock::time_point now, std::vector<Datagram>& out);
  void ExpireMembers(Clock::time_point now);
  Datagram Compose(uint8_t kind, uint64_t sequence, Address to,
                   const Member* target, const Member* first_update);
  /** Selects the updates for the next message and decrements their remaining
   * sends. @param first_update update to place first, or nullptr.
   * @return the updates. */
  std::vector<Member> TakeUpdates(const Member* first_update);
  std::optional<std::string> NextTarget();
  int Retransmissions() const;
  std::chrono::milliseconds SuspectTimeout() const;
  void UpdateLiveCount();

  Member self_;
  MembershipOptions options_;
  std::mt19937_64 rng_;
  std::map<std::string, MemberEntry, std::less<>> members_;  ///< Without self.
  std::map<std::string, Member, std::less<>> roster_;        ///< Without self.
  std::vector<std::string> round_;  ///< Targets not probed yet this round.
  std::optional<Probe> probe_;
  /** Keyed by the sequence number of the ping. */
  std::map<uint64_t, IndirectProbe> indirect_probes_;
  Clock::time_point next_probe_;
  Clock::time_point next_reconnect_;
  uint64_t sequence_ = 0;
  int live_count_ = 1;
  int64_t malformed_ = 0;
};

}  // namespace turmeric::membership
