#include "gateway/decisions/event_order.h"

#include <algorithm>

namespace crocusspur::gateway {
namespace {

// Fewer may run by one by chance, where ids count tokens.
constexpr uint64_t MinNumbersByOne = 4;

bool isNumber(std::string_view Id) {
  return !Id.empty() && Id.find_first_not_of("0123456789") == Id.npos;
}

std::string_view withoutLeadingZeros(std::string_view Number) {
  Number.remove_prefix(
      std::min(Number.find_first_not_of('0'), Number.size() - 1));
  return Number;
}

// One more than a number of any size.
std::string successor(std::string Number) {
  size_t at = Number.find_last_not_of('9');
  size_t nines = at == Number.npos ? Number.size() : Number.size() - at - 1;
  Number.replace(Number.size() - nines, nines, nines, '0');
  if (at == Number.npos)
    return "1" + Number;
  ++Number[at];
  return Number;
}

} // namespace

// Numbers of any size are compared as text, by their lengths and then digits.
bool EventOrder::accept(std::string_view Id) {
  if (!isNumber(Id))
    return true;
  Id = withoutLeadingZeros(Id);
  if (!Last.empty() &&
      (Id.size() != Last.size() ? Id.size() < Last.size()
                                : Id <= std::string_view(Last)))
    return false;
  ByOne = ByOne && (Numbers == 0 || Id == successor(Last));
  ++Numbers;
  Last = Id;
  return true;
}

bool EventOrder::leavesOut(std::string_view Id) const {
  if (!isNumber(Id) || Numbers < MinNumbersByOne || !ByOne)
    return false;
  Id = withoutLeadingZeros(Id);
  std::string next = successor(Last);
  return Id.size() != next.size() ? Id.size() > next.size()
                                  : Id > std::string_view(next);
}

} // namespace crocusspur::gateway
