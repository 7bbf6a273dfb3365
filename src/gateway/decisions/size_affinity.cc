#include "gateway/decisions/size_affinity.h"

#include <algorithm>
#include <cmath>
#include <set>
#include <string>

namespace crocusspur::gateway {
namespace {

// Minimum number of requests for a useful size distribution.
constexpr uint64_t MinRequests = 20;
// Weights are halved at this many tokens, about a thousand typical requests, so
// that subsets follow changes of the sizes.
constexpr double HalvingTokens = 6e6;
// Fraction of the servers in a subset.
constexpr double SubsetFraction = 0.5;
// In a smaller subset there is too often no server with room for the next
// request.
constexpr double MinSubsetServers = 12;

} // namespace

size_t SizeAffinity::bucketOf(uint64_t Tokens) {
  double octaves =
      std::log2(static_cast<double>(std::max<uint64_t>(Tokens, 1)));
  return std::min(static_cast<size_t>(octaves * PerOctave),
                  PerOctave * Octaves - 1);
}

void SizeAffinity::add(uint64_t Tokens) {
  auto weight = static_cast<double>(Tokens);
  Weights[bucketOf(Tokens)] += weight;
  Total += weight;
  ++Count;
  if (Total < HalvingTokens)
    return;
  for (double &it : Weights)
    it /= 2;
  Total /= 2;
}

std::optional<double> SizeAffinity::cumulativeShare(uint64_t Tokens) const {
  if (Count < MinRequests || Total <= 0)
    return std::nullopt;
  size_t bucket = bucketOf(Tokens);
  double below = 0;
  for (size_t i = 0; i < bucket; ++i)
    below += Weights[i];
  return (below + Weights[bucket] / 2) / Total;
}

std::vector<ServerChoice> subsetFor(const std::vector<ServerChoice> &Ranked,
                                    std::optional<double> CumulativeShare,
                                    size_t Count) {
  std::vector<std::string> ids;
  for (const ServerChoice &it : Ranked)
    if (!it.Failing)
      ids.push_back(it.Id);
  auto all = static_cast<double>(ids.size());
  double width = std::max({static_cast<double>(Count), MinSubsetServers,
                           std::round(SubsetFraction * all)});
  if (!CumulativeShare || width >= all)
    return {Ranked.begin(),
            Ranked.begin() +
                static_cast<std::ptrdiff_t>(std::min(Count, Ranked.size()))};
  std::sort(ids.begin(), ids.end());
  // Adjacent servers, centred as closely as possible on the share.
  double first =
      std::clamp(*CumulativeShare * all - width / 2, 0.0, all - width);
  auto from = ids.begin() + static_cast<std::ptrdiff_t>(std::round(first));
  std::set<std::string> subset(from, from + static_cast<std::ptrdiff_t>(width));
  std::vector<ServerChoice> chosen;
  for (const ServerChoice &it : Ranked)
    if (subset.contains(it.Id) && chosen.size() < Count)
      chosen.push_back(it);
  return chosen;
}

} // namespace crocusspur::gateway
