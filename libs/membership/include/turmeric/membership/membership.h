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
  /** At least; grows with the logarithm of the fleet, as news does. */
  std::chrono::milliseconds suspect_timeout{4000};
  /** How long the dead who left the roster are remembered, so that late
   * news of them is old. */
  std::chrono::milliseconds forget_dead{60000};
  /** How often one of the roster that is held dead is tried. */
  std::chrono::milliseconds contact_period{10000};
  int indirect_probes = 3;      ///< Helpers asked when a probe fails.
  int updates_per_message = 8;  ///< News carried by one message.
};

/** A datagram to send. */
struct Datagram {
  Address to;
  std::vector<uint8_t> bytes;
};

/**
 * SWIM-style membership of entry instances: each probes one other a period,
 * asks a few to probe for it before suspecting, and news travels on the
 * probes. A plain state machine: no sockets and no clock of its own, so that
 * it runs the same in tests. Not thread-safe.
 * After Das, Gupta and Motivala, "SWIM: Scalable Weakly-consistent
 * Infection-style Process Group Membership Protocol" (DSN 2002).
 */
class Membership {
 public:
  using Clock = std::chrono::steady_clock;

  /**
   * @param self this instance; its incarnation should be higher than in its
   *     earlier lives (e.g. the time), and is raised if it is not.
   * @param options timing. @param seed of random choices.
   */
  Membership(Member self, MembershipOptions options, uint64_t seed);

  /**
   * Sets the roster (the store's list): who may be there. Those not known
   * yet count as alive until a probe says otherwise; the dead are remembered
   * while they are listed.
   * @param roster instances, this one among them or not.
   * @param now the time.
   */
  void SetRoster(std::vector<Member> roster, Clock::time_point now);
  /** @param now the time; called every 100 ms or so. @return what to send. */
  std::vector<Datagram> Tick(Clock::time_point now);
  /**
   * @param bytes a datagram, from anyone; malformed ones are counted and
   *     dropped.
   * @param now the time. @return what to send.
   */
  std::vector<Datagram> OnDatagram(std::span<const uint8_t> bytes,
                                   Clock::time_point now);
  /** Says to a few others that this instance is stopping. @return what to
   * send, before it stops. */
  std::vector<Datagram> Leave();

  /** @return others believed alive or suspect, by name. */
  std::vector<Member> LiveMembers() const;
  /** @return instances at work, this one included. */
  int live_count() const { return live_count_; }
  /** @return this instance as it tells of itself. */
  const Member& self() const { return self_; }
  /** @return datagrams that were no message of ours. */
  int64_t malformed() const { return malformed_; }

 private:
  struct Held {
    Member member;
    Clock::time_point since;  ///< When the state was taken.
    int sends_left = 0;       ///< Times the news is still to be told.
  };
  struct Probe {
    std::string target;
    uint64_t sequence = 0;
    Clock::time_point sent;
    bool asked_others = false;
  };
  /** A probe made for another instance. */
  struct Relay {
    Address asker;
    uint64_t asker_sequence = 0;
    Clock::time_point sent;
  };

  void Apply(const Member& update, Clock::time_point now);
  void SetState(Held& held, MemberState state, Clock::time_point now);
  void EndProbe(Clock::time_point now, std::vector<Datagram>& out);
  void StartProbe(Clock::time_point now, std::vector<Datagram>& out);
  void AskOthers(std::vector<Datagram>& out);
  void TryContact(Clock::time_point now, std::vector<Datagram>& out);
  void AgeMembers(Clock::time_point now);
  Datagram Compose(uint8_t kind, uint64_t sequence, Address to,
                   const Member* target, const Member* first_news);
  std::vector<Member> TakeNews(const Member* first_news);
  std::optional<std::string> NextTarget();
  int Retransmissions() const;
  std::chrono::milliseconds SuspectTimeout() const;
  void Recount();

  Member self_;
  MembershipOptions options_;
  std::mt19937_64 rng_;
  std::map<std::string, Held, std::less<>> members_;   ///< Without self.
  std::map<std::string, Member, std::less<>> roster_;  ///< Without self.
  std::vector<std::string> round_;  ///< Targets left in this round.
  std::optional<Probe> probe_;
  std::map<uint64_t, Relay> relays_;
  Clock::time_point next_probe_;
  Clock::time_point next_contact_;
  uint64_t sequence_ = 0;
  int live_count_ = 1;
  int64_t malformed_ = 0;
};

}  // namespace turmeric::membership
