#include "gateway/event_splitter.h"

#include <algorithm>

namespace crocusspur::gateway {

bool EventSplitter::next(std::string &Event) {
  size_t plain = Pending.find("\n\n");
  size_t carriage = Pending.find("\r\n\r\n");
  size_t end = std::string::npos;
  if (plain != std::string::npos)
    end = plain + 2;
  if (carriage != std::string::npos)
    end = std::min(end, carriage + 4);
  if (end == std::string::npos)
    return false;
  Event = Pending.substr(0, end);
  Pending.erase(0, end);
  return true;
}

} // namespace crocusspur::gateway
