#include "turmeric/membership/membership.h"

#include <algorithm>
#include <bit>
#include <iterator>
#include <utility>

#include "details/codec.h"

namespace turmeric::membership {

using details::Message;
using details::MessageKind;

namespace {

bool IsLive(const Member& m) {
  return m.state == MemberState::kAlive || m.state == MemberState::kSuspect;
}

}  // namespace

Membership::Membership(Member self, MembershipOptions options, uint64_t seed)
    : self_(std::move(self)), options_(options), rng_(seed) {
  self_.state = MemberState::kAlive;
}

int Membership::Retransmissions() const {
  // An update reaches all instances with high probability after a small
  // multiple of log2(n) messages.
  constexpr int kPerDoubling = 3;
  return kPerDoubling * static_cast<int>(std::bit_width(members_.size() + 1));
}

std::chrono::milliseconds Membership::SuspectTimeout() const {
  // Guard: the refutation of a live suspect spreads as fast as the suspicion. A
  // timeout shorter than the time for an update to reach all instances would
  // declare live instances dead.
  return std::max(options_.suspect_timeout,
                  options_.probe_period *
                      static_cast<int>(std::bit_width(members_.size() + 1)));
}

void Membership::UpdateLiveCount() {
  live_count_ =
      1 + static_cast<int>(std::ranges::count_if(
              members_, [](const auto& m) { return IsLive(m.second.member); }));
}

void Membership::SetRoster(std::vector<Member> roster, Clock::time_point now) {
  roster_.clear();
  for (Member& m : roster) {
    if (m.name == self_.name) continue;
    // Not disseminated, because all instances read the same list. By gossip,
    // the roster would take more than a minute to spread in a fleet of 256.
    if (!members_.contains(m.name)) members_[m.name] = MemberEntry{m, now, 0};
    roster_.emplace(m.name, std::move(m));
  }
  UpdateLiveCount();
}

void Membership::SetState(MemberEntry& entry, MemberState state,
                          Clock::time_point now) {
  entry.member.state = state;
  entry.since = now;
  entry.sends_left = Retransmissions();
  UpdateLiveCount();
}

void Membership::Apply(const Member& update, Clock::time_point now) {
  if (update.name == self_.name) {
    // Guard: an instance that was paused or cut off receives the update that it
    // is suspect or dead. A restarted instance can receive an update on its
    // earlier process with a higher incarnation, if that process's clock was
    // ahead. Only the instance itself may raise its incarnation, and a raised
    // incarnation overrides both updates.
    if (update.incarnation > self_.incarnation ||
        (update.incarnation == self_.incarnation &&
         update.state > self_.state)) {
      self_.incarnation = update.incarnation + 1;
    }
    return;
  }
  auto it = members_.find(update.name);
  if (it == members_.end()) {
    // An unknown member that is already dead does not need an entry.
    if (update.state == MemberState::kDead) return;
    it = members_.emplace(update.name, MemberEntry{update, now, 0}).first;
    SetState(it->second, update.state, now);
    return;
  }
  if (!Supersedes(update, it->second.member)) return;
  it->second.member = update;
  SetState(it->second, update.state, now);
}

std::vector<Member> Membership::TakeUpdates(const Member* first_update) {
  std::vector<Member> updates;
  if (first_update != nullptr) updates.push_back(*first_update);
  std::vector<MemberEntry*> pending;
  for (auto& [name, entry] : members_) {
    if (entry.sends_left > 0) pending.push_back(&entry);
  }
  const size_t count = std::min(
      pending.size(),
      static_cast<size_t>(options_.updates_per_message) - updates.size());
  std::ranges::partial_sort(pending, pending.begin() + count, std::greater{},
                            &MemberEntry::sends_left);
  for (size_t i = 0; i < count; ++i) {
    --pending[i]->sends_left;
    updates.push_back(pending[i]->member);
  }
  return updates;
}

Datagram Membership::Compose(uint8_t kind, uint64_t sequence, Address to,
                             const Member* target, const Member* first_update) {
  Message message;
  message.kind = static_cast<MessageKind>(kind);
  message.sequence = sequence;
  message.from = self_;
  if (target != nullptr) message.target = *target;
  message.updates = TakeUpdates(first_update);
  return {to, details::Encode(message)};
}

std::optional<std::string> Membership::NextTarget() {
  // Members are probed in shuffled rounds, each member once per round, so that
  // no member is probed much less often than the others.
  for (int pass = 0; pass < 2; ++pass) {
    while (!round_.empty()) {
      std::string name = std::move(round_.back());
      round_.pop_back();
      auto it = members_.find(name);
      if (it != members_.end() && IsLive(it->second.member)) return name;
    }
    for (const auto& [name, entry] : members_) {
      if (IsLive(entry.member)) round_.push_back(name);
    }
    std::ranges::shuffle(round_, rng_);
  }
  return std::nullopt;
}

void Membership::StartProbe(Clock::time_point now, std::vector<Datagram>& out) {
  const auto target = NextTarget();
  if (!target) return;
  probe_ = Probe{*target, ++sequence_, now, false};
  const Member& m = members_.find(*target)->second.member;
  // A ping to a suspect carries the suspicion as its first update, so that the
  // suspect can refute it.
  const Member* suspicion = m.state == MemberState::kSuspect ? &m : nullptr;
  out.push_back(Compose(static_cast<uint8_t>(MessageKind::kPing), sequence_,
                        m.address, nullptr, suspicion));
}

void Membership::RequestIndirectProbes(std::vector<Datagram>& out) {
  probe_->indirect_requested = true;
  const Member target = members_.find(probe_->target)->second.member;
  std::vector<const Member*> candidates;
  for (const auto& [name, entry] : members_) {
    if (entry.member.state == MemberState::kAlive && name != target.name) {
      candidates.push_back(&entry.member);
    }
  }
  std::vector<const Member*> chosen;
  std::ranges::sample(candidates, std::back_inserter(chosen),
                      options_.indirect_probes, rng_);
  for (const Member* peer : chosen) {
    out.push_back(Compose(static_cast<uint8_t>(MessageKind::kPingRequest),
                          probe_->sequence, peer->address, &target, nullptr));
  }
}

void Membership::AdvanceProbe(Clock::time_point now,
                              std::vector<Datagram>& out) {
  auto it = members_.find(probe_->target);
  if (it == members_.end() || !IsLive(it->second.member)) {
    probe_.reset();
    return;
  }
  if (!probe_->indirect_requested &&
      now - probe_->sent >= options_.ack_timeout) {
    RequestIndirectProbes(out);
  }
  if (now - probe_->sent >= options_.probe_period) {
    if (it->second.member.state == MemberState::kAlive) {
      SetState(it->second, MemberState::kSuspect, now);
      out.push_back(Compose(static_cast<uint8_t>(MessageKind::kPing),
                            ++sequence_, it->second.member.address, nullptr,
                            &it->second.member));
    }
    probe_.reset();
  }
}

void Membership::PingDeadMember(Clock::time_point now,
                                std::vector<Datagram>& out) {
  // Guard: after a network partition the members of the two sides count each
  // other as dead and would never probe each other again. The roster contains
  // both sides.
  const bool isolated = live_count_ == 1;
  next_reconnect_ =
      now + (isolated ? options_.probe_period : options_.reconnect_period);
  std::vector<const Member*> dead;
  for (const auto& [name, listed] : roster_) {
    const MemberEntry& entry = members_.find(name)->second;
    if (!IsLive(entry.member)) dead.push_back(&entry.member);
  }
  if (dead.empty()) return;
  // The ping carries the recorded state of the member (leaving or dead), so
  // that a running member can refute it.
  const Member& member = *dead[rng_() % dead.size()];
  out.push_back(Compose(static_cast<uint8_t>(MessageKind::kPing), ++sequence_,
                        roster_.find(member.name)->second.address, nullptr,
                        &member));
}

void Membership::ExpireMembers(Clock::time_point now) {
  for (auto& [name, entry] : members_) {
    if (entry.member.state == MemberState::kSuspect &&
        now - entry.since >= SuspectTimeout()) {
      SetState(entry, MemberState::kDead, now);
    }
  }
  std::erase_if(members_, [&](const auto& m) {
    return !IsLive(m.second.member) && !roster_.contains(m.first) &&
           now - m.second.since >= options_.dead_retention;
  });
  std::erase_if(indirect_probes_, [&](const auto& r) {
    return now - r.second.sent >= options_.probe_period;
  });
}

std::vector<Datagram> Membership::Tick(Clock::time_point now) {
  std::vector<Datagram> out;
  ExpireMembers(now);
  if (probe_) AdvanceProbe(now, out);
  if (now >= next_probe_) {
    next_probe_ = now + options_.probe_period;
    if (!probe_) StartProbe(now, out);
  }
  if (now >= next_reconnect_) PingDeadMember(now, out);
  return out;
}

std::vector<Datagram> Membership::OnDatagram(std::span<const uint8_t> bytes,
                                             Clock::time_point now) {
  const auto message = details::Decode(bytes);
  if (!message || message->from.name == self_.name) {
    malformed_ += !message;
    return {};
  }
  Apply(message->from, now);
  std::ranges::for_each(message->updates,
                        [&](const Member& m) { Apply(m, now); });
  std::vector<Datagram> out;
  const Address sender = message->from.address;
  switch (message->kind) {
    case MessageKind::kPing: {
      // If this instance has a newer state of the sender than the message, the
      // acknowledgement carries that state, so that the sender can refute it
      // or, after a restart with a lower incarnation, raise its incarnation.
      auto it = members_.find(message->from.name);
      const bool has_newer =
          it != members_.end() && Supersedes(it->second.member, message->from);
      out.push_back(Compose(static_cast<uint8_t>(MessageKind::kAck),
                            message->sequence, sender, nullptr,
                            has_newer ? &it->second.member : nullptr));
      break;
    }
    case MessageKind::kPingRequest:
      if (message->target) {
        indirect_probes_[++sequence_] =
            IndirectProbe{sender, message->sequence, now};
        out.push_back(Compose(static_cast<uint8_t>(MessageKind::kPing),
                              sequence_, message->target->address, nullptr,
                              nullptr));
      }
      break;
    case MessageKind::kAck:
      if (probe_ && probe_->sequence == message->sequence) probe_.reset();
      if (auto request = indirect_probes_.find(message->sequence);
          request != indirect_probes_.end()) {
        out.push_back(Compose(static_cast<uint8_t>(MessageKind::kAck),
                              request->second.requester_sequence,
                              request->second.requester, nullptr,
                              &message->from));
        indirect_probes_.erase(request);
      }
      break;
  }
  return out;
}

std::vector<Datagram> Membership::Leave() {
  self_.state = MemberState::kLeaving;
  std::vector<Member> live = LiveMembers();
  std::vector<Member> targets;
  std::ranges::sample(live, std::back_inserter(targets), Retransmissions(),
                      rng_);
  std::vector<Datagram> out;
  std::ranges::transform(
      targets, std::back_inserter(out), [&](const Member& m) {
        return Compose(static_cast<uint8_t>(MessageKind::kPing), ++sequence_,
                       m.address, nullptr, nullptr);
      });
  return out;
}

std::vector<Member> Membership::LiveMembers() const {
  std::vector<Member> live;
  for (const auto& [name, entry] : members_) {
    if (IsLive(entry.member)) live.push_back(entry.member);
  }
  return live;
}

}  // namespace turmeric::membership
