#pragma once

#include "details/peer_generated.h"
#include "turmeric/peer/frame.h"

namespace turmeric::peer {

/** The orders and grants of connections in a frame; absent if there are none,
 * as in most frames. */
struct LoanParts {
  template <class Table>
  using TableList = flatbuffers::Vector<flatbuffers::Offset<Table>>;

  flatbuffers::Offset<TableList<wire::LoanOrder>> orders;
  flatbuffers::Offset<TableList<wire::LoanGrant>> grants;
};

/** @param b the builder of the frame. @param frame the frame.
 * @return its orders and grants, written to the builder. */
LoanParts WriteLoanParts(flatbuffers::FlatBufferBuilder& b, const Frame& frame);

/** @param f an encoded frame. @param frame receives its orders and grants. */
void ReadLoanParts(const wire::Frame& f, Frame& frame);

}  // namespace turmeric::peer
