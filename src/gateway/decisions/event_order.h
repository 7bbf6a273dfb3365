// Decides whether an event of a stream may follow the events that its caller
// has. Does no I/O.
//
// Intended for servers that continue a stream but begin again at its first
// event, and for streams whose runs overlap.
#ifndef CROCUSSPUR_GATEWAY_EVENT_ORDER_H
#define CROCUSSPUR_GATEWAY_EVENT_ORDER_H

#include <cstdint>
#include <string>
#include <string_view>

namespace crocusspur::gateway {

// Not thread-safe.
class EventOrder {
public:
  // Notes an event with this id. Returns false, and forgets it, if the id isn't
  // beyond that of every event before. Ids that are empty or no decimal numbers
  // have no order and are accepted.
  bool accept(std::string_view Id);
  // Whether events are missing between the last one and one with this id: the
  // ids so far ran by one, and this isn't the next. False if that isn't known.
  bool leavesOut(std::string_view Id) const;

private:
  std::string Last; // the largest number, without leading zeros
  uint64_t Numbers = 0;
  bool ByOne = true; // each number but the first is one more than the last
};

} // namespace crocusspur::gateway

#endif
