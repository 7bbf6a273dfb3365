// Selects the subset of decode servers that a request asks for memory by its
// size. Does no I/O.
//
// Intended for the case that all decode memory is in use and what a completed
// request frees is taken at once. If requests of all sizes ask all servers,
// small requests take free memory before a large one fits: one in nine of the
// largest tenth was on time, nine in ten of the smallest. Requests of similar
// size therefore ask the same servers, where the end of one makes room for the
// next. Each size gets servers in proportion to the memory that it requests.
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
  // Records a request for memory for `Tokens` tokens.
  void add(uint64_t Tokens);

  // Fraction, 0 to 1, of all requested memory that smaller requests account
  // for. Empty until enough requests are known.
  std::optional<double> cumulativeShare(uint64_t Tokens) const;

private:
  static constexpr size_t PerOctave = 16; // buckets per doubling
  static constexpr size_t Octaves = 20;

  static size_t bucketOf(uint64_t Tokens);

  std::array<double, PerOctave * Octaves> Weights{}; // requested tokens
  double Total = 0;
  uint64_t Count = 0;
};

// Returns the first `Count` servers of the subset at `CumulativeShare`, in the
// order of `Ranked`. All instances order servers by id, so that their subsets
// are the same. Failing servers belong to no subset; they come last, and only
// if fewer than `Count` others are left.
std::vector<ServerChoice> subsetFor(const std::vector<ServerChoice> &Ranked,
                                    std::optional<double> CumulativeShare,
                                    size_t Count);

} // namespace crocusspur::gateway

#endif
