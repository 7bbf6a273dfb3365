#include "gateway/decisions/event_order.h"

#include <algorithm>

namespace crocusspur::gateway {

// Numbers of any size are compared as text, by their lengths and then digits.
bool EventOrder::accept(std::string_view Id) {
  if (Id.empty() || Id.find_first_not_of("0123456789") != Id.npos)
    return true;
  Id.remove_prefix(std::min(Id.find_first_not_of('0'), Id.size() - 1));
  if (!Last.empty() &&
      (Id.size() != Last.size() ? Id.size() < Last.size()
                                : Id <= std::string_view(Last)))
    return false;
  Last = Id;
  return true;
}

} // namespace crocusspur::gateway
