#include "load_metrics.h"

#include <algorithm>
#include <cmath>

namespace crocusspur::bench {
namespace {

constexpr double ShareWindowMs = 10000;

double overlap(double From, double Until, const TimeWindow &Window) {
  return std::max(0.0,
                  std::min(Until, Window.Until) - std::max(From, Window.From));
}

double toMilliseconds(Microseconds Time) {
  return static_cast<double>(Time.count()) / 1000;
}

bool meetsLatencyTargets(const RequestResult &Result,
                         const GroupTarget &Target) {
  if (!Target.MayWait && Result.First - Result.At > Target.FirstOutput)
    return false;
  return Result.Tokens < 2 ||
         (Result.Last - Result.First) / (Result.Tokens - 1) <=
             Target.MaxTokenInterval;
}

// Uses the nearest-rank method.
double percentile(std::vector<double> &Sorted, double Fraction) {
  if (Sorted.empty())
    return 0;
  auto rank = static_cast<size_t>(
      std::ceil(Fraction * static_cast<double>(Sorted.size())));
  return Sorted[std::max<size_t>(rank, 1) - 1];
}

bool inGroup(const std::string &Name, const std::string &Group) {
  return Group.empty() || Name == Group;
}

} // namespace

bool meetsTargets(const RequestResult &Result, const GroupTarget &Target) {
  return Result.Complete && meetsLatencyTargets(Result, Target);
}

GroupCounts countResults(const std::vector<RequestResult> &Results,
                         const std::map<std::string, GroupTarget> &Targets,
                         const std::string &Group) {
  GroupCounts counts;
  std::vector<double> first;
  for (const RequestResult &it : Results) {
    if (!inGroup(it.Group, Group))
      continue;
    if (it.Tokens > 0)
      first.push_back(toMilliseconds(it.First - it.At));
    if (!it.Ended) {
      ++counts.Open;
      continue;
    }
    ++counts.Requests;
    counts.Good += meetsTargets(it, Targets.at(it.Group));
    bool refused = !it.Complete && it.Execution == "no";
    counts.Refused += refused;
    counts.Failed += !it.Complete && !refused;
  }
  std::sort(first.begin(), first.end());
  counts.P50 = percentile(first, 0.5);
  counts.P99 = percentile(first, 0.99);
  return counts;
}

PrefillCounts countPrefills(const std::vector<EngineRun> &Runs,
                            const std::string &Group) {
  PrefillCounts counts;
  for (const EngineRun &it : Runs) {
    if (it.Decode || !inGroup(it.Group, Group) || it.Outcome == "running" ||
        it.Outcome == "done")
      continue;
    ++counts.Prefills;
    counts.Wasted += it.Outcome != "imported";
  }
  return counts;
}

std::map<std::string, double> slotSeconds(const std::vector<EngineRun> &Runs,
                                          const TimeWindow &Window) {
  std::map<std::string, double> sums;
  for (const EngineRun &it : Runs) {
    if (!it.Decode)
      continue;
    double end = it.Outcome == "running" ? Window.Until : it.Ended;
    sums[it.Group] += overlap(it.Started, end, Window) / 1000;
  }
  return sums;
}

double usefulSeconds(const std::vector<RequestResult> &Results,
                     const std::map<std::string, GroupTarget> &Targets,
                     Microseconds TokenInterval, const TimeWindow &Window,
                     const std::string &Group) {
  double sum = 0;
  for (const RequestResult &it : Results) {
    const GroupTarget &target = Targets.at(it.Group);
    if (!inGroup(it.Group, Group) || it.Tokens == 0 ||
        !(it.Ended ? meetsTargets(it, target)
                   : meetsLatencyTargets(it, target)))
      continue;
    sum += overlap(toMilliseconds(it.First - TokenInterval),
                   toMilliseconds(it.Last), Window) /
           1000;
  }
  return sum;
}

double tokensWithin(const std::vector<RequestResult> &Results,
                    const TimeWindow &Window) {
  double sum = 0;
  for (const RequestResult &it : Results) {
    double first = toMilliseconds(it.First), last = toMilliseconds(it.Last);
    if (it.Tokens > 1 && last > first)
      sum += it.Tokens * overlap(first, last, Window) / (last - first);
  }
  return sum;
}

std::optional<double>
shareDeviation(const std::vector<EngineRun> &Runs,
               const std::map<std::string, GroupTarget> &Targets,
               const std::string &Group, const TimeWindow &Window) {
  double shares = 0;
  for (const auto &[name, target] : Targets)
    shares += target.MayWait ? target.Share : 0;
  std::optional<double> worst;
  for (double from = Window.From; from + ShareWindowMs <= Window.Until;
       from += 1000) {
    auto used = slotSeconds(Runs, {from, from + ShareWindowMs});
    double sum = 0;
    for (const auto &[name, target] : Targets)
      sum += target.MayWait ? used[name] : 0;
    if (sum <= 0)
      continue;
    double expected = sum * Targets.at(Group).Share / shares;
    worst = std::max(worst.value_or(0), std::abs(used[Group] / expected - 1));
  }
  return worst;
}

} // namespace crocusspur::bench
