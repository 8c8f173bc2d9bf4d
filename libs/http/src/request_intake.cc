#include "turmeric/http/request_intake.h"

#include <algorithm>
#include <utility>

#include "turmeric/memory/memory_account.h"
#include "turmeric/utils/decision_log.h"

namespace turmeric::http {

using memory::BufferKind;
using Clock = std::chrono::steady_clock;

RequestIntake::RequestIntake(memory::MemoryAccount& account,
                             size_t partial_bound, RequestIntakeEvents events)
    : account_(account),
      events_(std::move(events)),
      partial_bound_(partial_bound) {}

RequestIntake::~RequestIntake() = default;

void RequestIntake::Add(ServerConnection& connection) {
  if (account_.bound() == 0) return;
  connection.set_on_received([this, &connection] { OnReceived(connection); });
  connect(&connection, &QObject::destroyed, this, [this, id = connection.id()] {
    receiving_.erase(id);
    ErasePartial(id);
  });
}

void RequestIntake::OnReceived(ServerConnection& connection) {
  const uint64_t id = connection.id();
  const size_t expected = std::max(connection.expected(), connection.held());
  if (connection.reading() &&
      (receiving_.contains(id) || memory::IsLarge(connection.expected()))) {
    ErasePartial(id);
    return ReceiveLarge(connection, expected);
  }
  receiving_.erase(id);
  ErasePartial(id);
  // Between two requests, what was sent ahead is about to be read.
  const bool is_partial = connection.reading() || connection.busy();
  if (is_partial && connection.held() > 0) {
    ReceivePartial(connection, expected);
  }
}

void RequestIntake::ReceiveLarge(ServerConnection& connection,
                                 size_t expected) {
  auto known = receiving_.find(connection.id());
  if (known == receiving_.end()) {
    known =
        receiving_.emplace(connection.id(), MakeReceiving(connection)).first;
  }
  if (expected > known->second.reception.expected &&
      !Admit(known->second, expected)) {
    return Refuse(connection, "no_room");
  }
  Update(known->second);
}

void RequestIntake::ReceivePartial(ServerConnection& connection, size_t held) {
  partial_bytes_ += held;
  partial_[connection.id()] = {
      .connection = &connection,
      .request = {.id = connection.id(),
                  .held = held,
                  .sent_ahead = connection.busy(),
                  .began = connection.reading_since()}};
  if (partial_bytes_ > partial_bound_) GiveUpPartial();
}

void RequestIntake::ErasePartial(uint64_t id) {
  const auto it = partial_.find(id);
  if (it == partial_.end()) return;
  partial_bytes_ -= it->second.request.held;
  partial_.erase(it);
}

void RequestIntake::GiveUpPartial() {
  std::vector<memory::PartialRequest> requests;
  for (const auto& [id, partial] : partial_) {
    requests.push_back(partial.request);
  }
  for (const uint64_t id : memory::DecidePartial(requests, partial_bound_)) {
    const auto it = partial_.find(id);
    // An earlier one of the loop may have closed it.
    if (it == partial_.end()) continue;
    const Partial partial = it->second;
    if (!partial.request.sent_ahead) {
      Refuse(*partial.connection, "partial");
      continue;
    }
    Log(*partial.connection, "partial");
    ErasePartial(id);
    if (events_.on_refused) events_.on_refused("partial");
    partial.connection->CutOff();
  }
}

RequestIntake::Receiving RequestIntake::MakeReceiving(
    ServerConnection& connection) const {
  const auto now = Clock::now();
  return {.connection = &connection,
          .reception = {.id = connection.id(),
                        .expected = 0,
                        .received = 0,
                        .began = now,
                        .last_byte = now},
          .charge = std::make_unique<memory::Charge>(
              account_, BufferKind::kCallerRequest)};
}

bool RequestIntake::Admit(Receiving& receiving, size_t expected) {
  receiving.reception.expected = expected;
  const memory::ReceptionDecision decision = memory::DecideReception(
      receiving.reception, Others(receiving.reception.id), held(),
      account_.bound(), Clock::now());
  for (const uint64_t id : decision.given_up) {
    Refuse(*receiving_.at(id).connection, "given_up");
  }
  return decision.admitted;
}

void RequestIntake::Update(Receiving& receiving) {
  const size_t received = receiving.connection->held();
  if (received != receiving.reception.received) {
    receiving.reception.received = received;
    receiving.reception.last_byte = Clock::now();
  }
  receiving.charge->Set(received);
}

std::vector<memory::Reception> RequestIntake::Others(uint64_t id) const {
  std::vector<memory::Reception> others;
  for (const auto& [other, receiving] : receiving_) {
    if (other != id) others.push_back(receiving.reception);
  }
  return others;
}

size_t RequestIntake::held() const {
  size_t bytes = account_.total();
  for (const auto& [id, receiving] : receiving_) {
    bytes -= receiving.charge->bytes();
  }
  return bytes;
}

void RequestIntake::Refuse(ServerConnection& connection,
                           std::string_view reason) {
  Log(connection, reason);
  receiving_.erase(connection.id());
  ErasePartial(connection.id());
  if (events_.on_refused) events_.on_refused(reason);
  connection.RefuseIncomplete(events_.refusal(connection.TakeIncompleteHead()));
}

void RequestIntake::Log(const ServerConnection& connection,
                        std::string_view reason) {
  const auto requests = log_interval_.Count(Clock::now());
  if (!requests) return;
  utils::DecisionLog("reception_refused")
      .Add("requests", *requests)
      .Add("caller_connection", connection.id())
      .Add("reason", reason)
      .Add("held", connection.held())
      .Add("expected", connection.expected())
      .Add("receptions", receiving_.size())
      .Add("large_held", account_.total())
      .Add("large_bound", account_.bound())
      .Add("partial_held", partial_bytes_)
      .Add("partial_bound", partial_bound_);
}

}  // namespace turmeric::http
