#include "token_reorder_buffer.h"

namespace crocusspur::internal {
namespace {

// Engines may deliver tokens slightly out of order. A larger distance means a
// gap, after which the stream is resumed on a new connection.
constexpr uint64_t MaxAhead = 64;

} // namespace

bool TokenReorderBuffer::accept(uint64_t Index, std::string_view RawToken,
                                const Sink &Deliver) {
  if (Index < Next)
    return true;
  if (Index > Next) {
    if (Index - Next > MaxAhead)
      return false;
    Buffered.emplace(Index, RawToken);
    return true;
  }
  Deliver(RawToken);
  ++Next;
  while (!Buffered.empty() && Buffered.begin()->first == Next) {
    Deliver(Buffered.begin()->second);
    Buffered.erase(Buffered.begin());
    ++Next;
  }
  return true;
}

} // namespace crocusspur::internal
