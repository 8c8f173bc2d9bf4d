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
  // News reaches all with high probability after a few times log2(n) sends.
  constexpr int kPerDoubling = 3;
  return kPerDoubling * static_cast<int>(std::bit_width(members_.size() + 1));
}

std::chrono::milliseconds Membership::SuspectTimeout() const {
  // Guard: the objection of a live suspect travels as fast as the suspicion;
  // judged sooner than news crosses the fleet, it would be declared dead.
  return std::max(options_.suspect_timeout,
                  options_.probe_period *
                      static_cast<int>(std::bit_width(members_.size() + 1)));
}

void Membership::Recount() {
  live_count_ =
      1 + static_cast<int>(std::ranges::count_if(
              members_, [](const auto& m) { return IsLive(m.second.member); }));
}

void Membership::SetRoster(std::vector<Member> roster, Clock::time_point now) {
  roster_.clear();
  for (Member& m : roster) {
    if (m.name == self_.name) continue;
    // Not news to anyone: the others read the same list. Learning the roster
    // by gossip instead took a fleet of 256 more than a minute.
    if (!members_.contains(m.name)) members_[m.name] = Held{m, now, 0};
    roster_.emplace(m.name, std::move(m));
  }
  Recount();
}

void Membership::SetState(Held& held, MemberState state,
                          Clock::time_point now) {
  held.member.state = state;
  held.since = now;
  held.sends_left = Retransmissions();
  Recount();
}

void Membership::Apply(const Member& update, Clock::time_point now) {
  if (update.name == self_.name) {
    // Guard: a paused or cut-off instance hears that it is suspected or
    // dead; and a restarted one that its earlier life, with a higher
    // incarnation (its clock was ahead), still counts. Only the instance
    // itself may raise its incarnation, and doing so overrides both.
    if (update.incarnation > self_.incarnation ||
        (update.incarnation == self_.incarnation &&
         update.state > self_.state)) {
      self_.incarnation = update.incarnation + 1;
    }
    return;
  }
  auto it = members_.find(update.name);
  if (it == members_.end()) {
    // The dead are not worth learning of.
    if (update.state == MemberState::kDead) return;
    it = members_.emplace(update.name, Held{update, now, 0}).first;
    SetState(it->second, update.state, now);
    return;
  }
  if (!Supersedes(update, it->second.member)) return;
  it->second.member = update;
  SetState(it->second, update.state, now);
}

std::vector<Member> Membership::TakeNews(const Member* first_news) {
  std::vector<Member> news;
  if (first_news != nullptr) news.push_back(*first_news);
  std::vector<Held*> untold;
  for (auto& [name, held] : members_) {
    if (held.sends_left > 0) untold.push_back(&held);
  }
  const size_t room =
      std::min(untold.size(),
               static_cast<size_t>(options_.updates_per_message) - news.size());
  std::ranges::partial_sort(untold, untold.begin() + room, std::greater{},
                            &Held::sends_left);
  for (size_t i = 0; i < room; ++i) {
    --untold[i]->sends_left;
    news.push_back(untold[i]->member);
  }
  return news;
}

Datagram Membership::Compose(uint8_t kind, uint64_t sequence, Address to,
                             const Member* target, const Member* first_news) {
  Message message;
  message.kind = static_cast<MessageKind>(kind);
  message.sequence = sequence;
  message.from = self_;
  if (target != nullptr) message.target = *target;
  message.updates = TakeNews(first_news);
  return {to, details::Encode(message)};
}

std::optional<std::string> Membership::NextTarget() {
  // A shuffled round: every member is probed once a round, so that none
  // waits much longer than the others.
  for (int pass = 0; pass < 2; ++pass) {
    while (!round_.empty()) {
      std::string name = std::move(round_.back());
      round_.pop_back();
      auto it = members_.find(name);
      if (it != members_.end() && IsLive(it->second.member)) return name;
    }
    for (const auto& [name, held] : members_) {
      if (IsLive(held.member)) round_.push_back(name);
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
  // A suspect is told first of all that it is suspected, so that it can
  // object.
  const Member* news = m.state == MemberState::kSuspect ? &m : nullptr;
  out.push_back(Compose(static_cast<uint8_t>(MessageKind::kPing), sequence_,
                        m.address, nullptr, news));
}

void Membership::AskOthers(std::vector<Datagram>& out) {
  probe_->asked_others = true;
  const Member target = members_.find(probe_->target)->second.member;
  std::vector<const Member*> helpers;
  for (const auto& [name, held] : members_) {
    if (held.member.state == MemberState::kAlive && name != target.name) {
      helpers.push_back(&held.member);
    }
  }
  std::vector<const Member*> chosen;
  std::ranges::sample(helpers, std::back_inserter(chosen),
                      options_.indirect_probes, rng_);
  for (const Member* helper : chosen) {
    out.push_back(Compose(static_cast<uint8_t>(MessageKind::kPingRequest),
                          probe_->sequence, helper->address, &target, nullptr));
  }
}

void Membership::EndProbe(Clock::time_point now, std::vector<Datagram>& out) {
  auto it = members_.find(probe_->target);
  if (it == members_.end() || !IsLive(it->second.member)) {
    probe_.reset();
    return;
  }
  if (!probe_->asked_others && now - probe_->sent >= options_.ack_timeout) {
    AskOthers(out);
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

void Membership::TryContact(Clock::time_point now, std::vector<Datagram>& out) {
  // Guard: two halves of the fleet that were cut from each other hold each
  // other dead and would never speak again. The roster names both sides.
  const bool alone = live_count_ == 1;
  next_contact_ =
      now + (alone ? options_.probe_period : options_.contact_period);
  std::vector<const Member*> lost;
  for (const auto& [name, listed] : roster_) {
    const Held& held = members_.find(name)->second;
    if (!IsLive(held.member)) lost.push_back(&held.member);
  }
  if (lost.empty()) return;
  // If it is alive after all, it learns that it is held dead, and objects.
  const Member& member = *lost[rng_() % lost.size()];
  out.push_back(Compose(static_cast<uint8_t>(MessageKind::kPing), ++sequence_,
                        roster_.find(member.name)->second.address, nullptr,
                        &member));
}

void Membership::AgeMembers(Clock::time_point now) {
  for (auto& [name, held] : members_) {
    if (held.member.state == MemberState::kSuspect &&
        now - held.since >= SuspectTimeout()) {
      SetState(held, MemberState::kDead, now);
    }
  }
  std::erase_if(members_, [&](const auto& m) {
    return !IsLive(m.second.member) && !roster_.contains(m.first) &&
           now - m.second.since >= options_.forget_dead;
  });
  std::erase_if(relays_, [&](const auto& r) {
    return now - r.second.sent >= options_.probe_period;
  });
}

std::vector<Datagram> Membership::Tick(Clock::time_point now) {
  std::vector<Datagram> out;
  AgeMembers(now);
  if (probe_) EndProbe(now, out);
  if (now >= next_probe_) {
    next_probe_ = now + options_.probe_period;
    if (!probe_) StartProbe(now, out);
  }
  if (now >= next_contact_) TryContact(now, out);
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
      // What is known of the sender beyond what it says of itself, so that
      // it can object or, restarted with a lower incarnation, catch up.
      auto it = members_.find(message->from.name);
      const bool knows_better =
          it != members_.end() && Supersedes(it->second.member, message->from);
      out.push_back(Compose(static_cast<uint8_t>(MessageKind::kAck),
                            message->sequence, sender, nullptr,
                            knows_better ? &it->second.member : nullptr));
      break;
    }
    case MessageKind::kPingRequest:
      if (message->target) {
        relays_[++sequence_] = Relay{sender, message->sequence, now};
        out.push_back(Compose(static_cast<uint8_t>(MessageKind::kPing),
                              sequence_, message->target->address, nullptr,
                              nullptr));
      }
      break;
    case MessageKind::kAck:
      if (probe_ && probe_->sequence == message->sequence) probe_.reset();
      if (auto relay = relays_.find(message->sequence);
          relay != relays_.end()) {
        out.push_back(Compose(static_cast<uint8_t>(MessageKind::kAck),
                              relay->second.asker_sequence, relay->second.asker,
                              nullptr, &message->from));
        relays_.erase(relay);
      }
      break;
  }
  return out;
}

std::vector<Datagram> Membership::Leave() {
  self_.state = MemberState::kLeaving;
  std::vector<Member> live = LiveMembers();
  std::vector<Member> told;
  std::ranges::sample(live, std::back_inserter(told), Retransmissions(), rng_);
  std::vector<Datagram> out;
  std::ranges::transform(told, std::back_inserter(out), [&](const Member& m) {
    return Compose(static_cast<uint8_t>(MessageKind::kPing), ++sequence_,
                   m.address, nullptr, nullptr);
  });
  return out;
}

std::vector<Member> Membership::LiveMembers() const {
  std::vector<Member> live;
  for (const auto& [name, held] : members_) {
    if (IsLive(held.member)) live.push_back(held.member);
  }
  return live;
}

}  // namespace turmeric::membership
