#include "details/loan_parts.h"

#include <algorithm>
#include <iterator>
#include <vector>

namespace turmeric::peer {

LoanParts WriteLoanParts(flatbuffers::FlatBufferBuilder& b,
                         const Frame& frame) {
  LoanParts parts;
  if (!frame.loan_orders.empty()) {
    std::vector<flatbuffers::Offset<wire::LoanOrder>> orders;
    std::ranges::transform(
        frame.loan_orders, std::back_inserter(orders), [&b](const auto& o) {
          return wire::CreateLoanOrder(b, b.CreateString(o.upstream),
                                       o.sequence, o.held, o.wanted);
        });
    parts.orders = b.CreateVector(orders);
  }
  if (!frame.loan_grants.empty()) {
    std::vector<flatbuffers::Offset<wire::LoanGrant>> grants;
    std::ranges::transform(
        frame.loan_grants, std::back_inserter(grants), [&b](const auto& g) {
          return wire::CreateLoanGrant(b, b.CreateString(g.upstream),
                                       g.sequence, g.held);
        });
    parts.grants = b.CreateVector(grants);
  }
  return parts;
}

void ReadLoanParts(const wire::Frame& f, Frame& frame) {
  const auto text = [](const flatbuffers::String* s) {
    return s ? s->str() : std::string();
  };
  if (f.loan_orders() != nullptr) {
    for (const auto* o : *f.loan_orders()) {
      frame.loan_orders.push_back({.upstream = text(o->upstream()),
                                   .sequence = o->sequence(),
                                   .held = std::max(0, o->held()),
                                   .wanted = std::max(0, o->wanted())});
    }
  }
  if (f.loan_grants() != nullptr) {
    for (const auto* g : *f.loan_grants()) {
      frame.loan_grants.push_back({.upstream = text(g->upstream()),
                                   .sequence = g->sequence(),
                                   .held = std::max(0, g->held())});
    }
  }
}

}  // namespace turmeric::peer
