// Delivers the token events of a request's decode streams once and in the order
// of their indexes, over any number of attempts.
#ifndef CROCUSSPUR_TOKEN_REORDER_BUFFER_H
#define CROCUSSPUR_TOKEN_REORDER_BUFFER_H

#include <cstdint>
#include <functional>
#include <map>
#include <string>
#include <string_view>

namespace crocusspur::internal {

class TokenReorderBuffer {
public:
  using Sink = std::function<void(std::string_view RawToken)>;

  // Calls the function for each token that is next in order. Drops tokens that
  // were delivered before and buffers a bounded number of later ones. Returns
  // false if an index is too far ahead, which means that tokens are missing.
  bool accept(uint64_t Index, std::string_view RawToken, const Sink &Deliver);

  // Discards buffered tokens before a new attempt, which sends them again.
  void discardBuffered() { Buffered.clear(); }

  // Index of the first token that hasn't been delivered.
  uint64_t next() const { return Next; }
  bool complete() const { return Buffered.empty(); }

private:
  uint64_t Next = 0;
  std::map<uint64_t, std::string> Buffered;
};

} // namespace crocusspur::internal

#endif
