#include "token_reorder_buffer.h"

namespace crocusspur::internal {
namespace {

// Engines may deliver tokens out of order by a few; a larger distance means a
// gap, after which the stream is resumed on a new connection.
constexpr uint64_t MaxAhead = 64;

} // namespace

bool TokenReorderBuffer::accept(uint64_t Index, std::string_view RawToken,
                                const Sink &Take) {
  if (Index < Next)
    return true;
  if (Index > Next) {
    if (Index - Next > MaxAhead)
      return false;
    Early.emplace(Index, RawToken);
    return true;
  }
  Take(RawToken);
  ++Next;
  while (!Early.empty() && Early.begin()->first == Next) {
    Take(Early.begin()->second);
    Early.erase(Early.begin());
    ++Next;
  }
  return true;
}

} // namespace crocusspur::internal
