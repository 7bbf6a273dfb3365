// Splits the bytes of an event stream at event boundaries, so that only whole
// events are forwarded.
#ifndef CROCUSSPUR_GATEWAY_EVENT_SPLITTER_H
#define CROCUSSPUR_GATEWAY_EVENT_SPLITTER_H

#include <string>
#include <string_view>

namespace crocusspur::gateway {

class EventSplitter {
public:
  void add(std::string_view Bytes) { Pending += Bytes; }
  // Extracts the next whole event, including the empty line that ends it.
  // Returns false if there is none.
  bool next(std::string &Event);
  // Bytes after the last whole event.
  const std::string &rest() const { return Pending; }

private:
  std::string Pending;
};

} // namespace crocusspur::gateway

#endif
