// Which decode servers a request asks for memory, by its size. Pure.
//
// The load that it answers: all decode memory is in use, and what one ended
// request frees is taken at once. If all sizes ask all servers, small requests
// take what is free before a large one fits: of the largest tenth one in nine
// was on time, of the smallest nine in ten. So requests of similar size ask the
// same servers, where the end of one makes room for the next. Each size gets
// servers in proportion to the memory that it asks for.
#ifndef CROCUSSPUR_GATEWAY_SIZE_AFFINITY_H
#define CROCUSSPUR_GATEWAY_SIZE_AFFINITY_H

#include "gateway/decisions/server_registry.h"

#include <array>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <vector>

namespace crocusspur::gateway {

class SizeAffinity {
public:
  // A request of so many tokens asked for memory.
  void add(uint64_t Tokens);

  // Part of all memory asked for that smaller requests asked for, 0 to 1.
  // Nothing until some requests are known.
  std::optional<double> cumulativeShare(uint64_t Tokens) const;

private:
  static constexpr size_t PerOctave = 16; // buckets of each doubling
  static constexpr size_t Octaves = 20;

  static size_t bucketOf(uint64_t Tokens);

  std::array<double, PerOctave * Octaves> Weights{}; // tokens asked for
  double Total = 0;
  uint64_t Count = 0;
};

// The first `Count` servers of the lane at `Position`, in the order given. All
// instances number servers alike, by id. Servers that fail belong to no lane;
// they come last, and only if fewer than `Count` others are left.
std::vector<ServerChoice> subsetFor(const std::vector<ServerChoice> &Ranked,
                                    std::optional<double> CumulativeShare,
                                    size_t Count);

} // namespace crocusspur::gateway

#endif
