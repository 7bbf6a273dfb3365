// Measures the time per start decision with 64 running decodes, for several
// numbers of prefill results waiting for a slot.
#include "start_rule.h"

#include <chrono>
#include <cstdio>
#include <random>

using namespace crocusspur::internal;

static StartQuery makeQuery(const OutputLengths &Lengths, size_t Pending,
                            std::mt19937_64 &Random) {
  StartQuery query;
  std::uniform_real_distribution<> tokens(0, 200), due(0.2, 1.2);
  for (int i = 0; i < 64; ++i)
    query.Running.push_back({&Lengths, 1024, tokens(Random), 40});
  for (size_t i = 0; i < Pending; ++i)
    query.Pending.push_back(due(Random));
  query.NewDue = due(Random);
  // With this bound every rank is checked, which is the most expensive case.
  query.MaxShortageProbability = 1;
  return query;
}

int main() {
  std::mt19937_64 random(1);
  OutputLengths lengths;
  std::exponential_distribution<> length(1 / 120.0);
  for (int i = 0; i < 2000; ++i)
    lengths.add(1 + static_cast<uint32_t>(length(random)));
  for (size_t pending : {0, 4, 8, 16}) {
    std::vector<StartQuery> queries;
    for (int i = 0; i < 100; ++i)
      queries.push_back(makeQuery(lengths, pending, random));
    constexpr int Rounds = 100;
    size_t started = 0;
    auto start = std::chrono::steady_clock::now();
    for (int i = 0; i < Rounds; ++i)
      for (const StartQuery &it : queries)
        started += startRuleAllows(it);
    std::chrono::duration<double, std::micro> took =
        std::chrono::steady_clock::now() - start;
    std::printf("pending %zu: %.2f us a decision (%zu started)\n", pending,
                took.count() / (Rounds * static_cast<double>(queries.size())),
                started);
  }
}
