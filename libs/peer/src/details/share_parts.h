#pragma once

#include "details/peer_generated.h"
#include "turmeric/peer/frame.h"

namespace turmeric::peer {

/** The demand reports and share plans in a frame; absent if there are none, as
 * in most frames. */
struct ShareParts {
  template <class Table>
  using TableList = flatbuffers::Vector<flatbuffers::Offset<Table>>;

  flatbuffers::Offset<TableList<wire::DemandReport>> reports;
  flatbuffers::Offset<TableList<wire::SharePlanNotice>> plans;
};

/** @param b the builder of the frame. @param frame the frame.
 * @return its reports and plans, written to the builder. */
ShareParts WriteShareParts(flatbuffers::FlatBufferBuilder& b,
                           const Frame& frame);

/** @param f an encoded frame. @param frame receives its reports and plans. */
void ReadShareParts(const wire::Frame& f, Frame& frame);

}  // namespace turmeric::peer
