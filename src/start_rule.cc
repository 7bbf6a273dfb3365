#include "start_rule.h"

#include <algorithm>

namespace crocusspur::internal {

double endProbabilityWithin(const RunningDecode &Decode, double Seconds) {
  return Decode.Lengths->endProbability(Decode.MaxTokens, Decode.Tokens,
                                        Decode.Tokens +
                                            Seconds * Decode.TokensPerSecond);
}

double shortageProbability(const std::vector<double> &Probabilities,
                           size_t Needed) {
  if (Needed == 0)
    return 0;
  if (Needed > Probabilities.size())
    return 1;
  // exactly[k]: probability that k of the events processed so far occur, for k
  // below Needed. Larger counts aren't needed, which bounds the run time.
  std::vector<double> exactly(Needed, 0);
  exactly[0] = 1;
  for (double probability : Probabilities) {
    for (size_t k = Needed - 1; k > 0; --k)
      exactly[k] += probability * (exactly[k - 1] - exactly[k]);
    exactly[0] *= 1 - probability;
  }
  double sum = 0;
  for (double it : exactly)
    sum += it;
  return sum;
}

static bool slotsSuffice(const StartQuery &Query, double Due, size_t Results) {
  if (Results <= Query.FreeSlots)
    return true;
  size_t needed = Results - Query.FreeSlots;
  if (needed > Query.Running.size())
    return false;
  std::vector<double> probabilities;
  probabilities.reserve(Query.Running.size());
  for (const RunningDecode &it : Query.Running)
    probabilities.push_back(endProbabilityWithin(it, Due));
  return shortageProbability(probabilities, needed) <=
         Query.MaxShortageProbability;
}

bool startRuleAllows(const StartQuery &Query) {
  std::vector<double> due = Query.Pending;
  std::sort(due.begin(), due.end());
  auto at = std::upper_bound(due.begin(), due.end(), Query.NewDue);
  auto first = static_cast<size_t>(at - due.begin());
  due.insert(at, Query.NewDue);
  // Results due earlier take their slots first and aren't affected. The ones
  // due later each need one more slot, and the last of them needs the most,
  // so it is checked first.
  for (size_t i = due.size(); i > first; --i)
    if (!slotsSuffice(Query, due[i - 1], i))
      return false;
  return true;
}

double secondsUntilFree(const std::vector<RunningDecode> &Running, double Count,
                        double Limit) {
  if (Count <= 0)
    return 0;
  auto expected = [&](double Seconds) {
    double sum = 0;
    for (const RunningDecode &it : Running)
      sum += endProbabilityWithin(it, Seconds);
    return sum;
  };
  if (expected(Limit) < Count)
    return Limit;
  double low = 0, high = Limit;
  for (int i = 0; i < 12; ++i) {
    double middle = (low + high) / 2;
    (expected(middle) < Count ? low : high) = middle;
  }
  return high;
}

} // namespace crocusspur::internal
