// Cuts the bytes of an event stream at the ends of its events, so that only
// whole events are passed on.
#ifndef CROCUSSPUR_GATEWAY_EVENT_SPLITTER_H
#define CROCUSSPUR_GATEWAY_EVENT_SPLITTER_H

#include <string>
#include <string_view>

namespace crocusspur::gateway {

class EventSplitter {
public:
  void add(std::string_view Bytes) { Pending += Bytes; }
  // Takes the next whole event with the empty line that ends it.
  bool next(std::string &Event);
  // What follows the last whole event.
  const std::string &rest() const { return Pending; }

private:
  std::string Pending;
};

} // namespace crocusspur::gateway

#endif
