#include "gateway/decisions/placement/knee_table.h"

#include <algorithm>
#include <cmath>

namespace crocusspur::gateway {
namespace {

// Lowest load of each band.
constexpr std::array<double, LoadBandCount> Lowest = {0, 1,  2,  3,  4,  6,
                                                      8, 12, 16, 24, 32, 48};
const double KneeSlowdown = std::log(1.5);
// Weights are numbers of samples that halve in this time. With the bound, a
// server that has recovered shows it after about four calls at a load.
constexpr Milliseconds WeightHalfLife{10000};
constexpr double MaxWeight = 6;
constexpr double MinLowWeight = 2.5;
constexpr double MinHighWeight = 2;
// Standard errors by which times beyond the knee must differ from those at low
// load. With 1, 1 in 20 servers without a knee got one.
constexpr double MinErrors = 2;
// Ratio of the standard deviation to the mean absolute deviation.
constexpr double DeviationFactor = 1.25;
constexpr double DeviationWeight = 0.03;
// A single sample can't show more of a change than this factor.
const double MaxChange = std::log(6.0);
// Estimates within this factor of the knee in use don't change it.
constexpr double HeldRatio = 1.25;
constexpr Milliseconds HeldTime{20000};
constexpr Milliseconds MaxBandAge{60000};
// Evidence of two instances of almost the same time is averaged.
constexpr Milliseconds ConcurrentTime{500};
// Ages are sent in steps of 250 ms, rounded up, so that evidence that comes
// back from a peer doesn't look newer.
constexpr Milliseconds TransferTolerance{20};
constexpr Milliseconds DifferenceLifetime{50};
// Knees differ if, at equal load in two bands, the slowdowns of servers do: by
// more than KneeSlowdown and by as many standard errors as this. Comparing the
// estimated knees isn't enough: among equal prefill servers at 82 % of their
// capacity these differ by chance.
constexpr double DifferentErrors = 3;
constexpr size_t MinDifferentBands = 2;
// Part of it that keeps a difference which was seen.
constexpr double StillDifferent = 0.4;
constexpr size_t MinCompared = 5;
constexpr double ComparedPart = 0.25; // left out at both ends

// The lowest bands that together have enough samples.
struct LowLoad {
  double Unit = 0; // mean
  double Weight = 0;
  double Load = 0;
  size_t Next = 0; // first band of higher load
};

double centerOf(size_t Band) {
  return Band + 1 < LoadBandCount ? (Lowest[Band] + Lowest[Band + 1] - 1) / 2
                                  : Lowest[Band] * 1.2;
}

Milliseconds elapsed(TimePoint From, TimePoint To) {
  return std::max(Milliseconds(0),
                  std::chrono::duration_cast<Milliseconds>(To - From));
}

double decay(Milliseconds Age) {
  return std::exp2(-static_cast<double>(Age.count()) /
                   static_cast<double>(WeightHalfLife.count()));
}

LowLoad lowLoadOf(const LoadBands &Bands) {
  LowLoad low;
  for (; low.Next < Bands.size() && low.Weight < MinLowWeight; ++low.Next) {
    const LoadBand &band = Bands[low.Next];
    if (band.Weight <= 0)
      continue;
    low.Weight += band.Weight;
    low.Unit += (band.Unit - low.Unit) * band.Weight / low.Weight;
    low.Load = centerOf(low.Next);
  }
  return low;
}

// Neighbouring bands with one mean.
struct Block {
  double Unit;
  double Weight;
  size_t First;
  size_t Last;
};

// Pools adjacent bands until their means grow with the load.
std::vector<Block> monotonic(const LoadBands &Bands, size_t From) {
  std::vector<Block> blocks;
  for (size_t i = From; i < Bands.size(); ++i) {
    if (Bands[i].Weight <= 0)
      continue;
    blocks.push_back({Bands[i].Unit, Bands[i].Weight, i, i});
    while (blocks.size() > 1 &&
           blocks[blocks.size() - 2].Unit >= blocks.back().Unit) {
      Block last = blocks.back();
      blocks.pop_back();
      Block &block = blocks.back();
      double weight = block.Weight + last.Weight;
      block.Unit += (last.Unit - block.Unit) * last.Weight / weight;
      block.Weight = weight;
      block.Last = last.Last;
    }
  }
  return blocks;
}

} // namespace

size_t loadBandOf(double Load) {
  const auto *it = std::ranges::upper_bound(Lowest, std::max(Load, 0.0));
  return static_cast<size_t>(it - Lowest.begin()) - 1;
}

KneeFit fitKnee(const LoadBands &Bands, double Deviation) {
  KneeFit fit;
  for (const LoadBand &it : Bands)
    fit.Samples += it.Weight;
  LowLoad lowLoad = lowLoadOf(Bands);
  double low = lowLoad.Unit;
  if (lowLoad.Weight < MinLowWeight)
    return fit;
  fit.FastUpTo = lowLoad.Load;
  std::vector<Block> blocks = monotonic(Bands, lowLoad.Next);
  double fastLoad = lowLoad.Load;
  double fastUnit = low;
  for (size_t i = 0; i < blocks.size(); ++i) {
    double weight = 0;
    double unit = 0; // of this block and those of higher load
    for (size_t k = i; k < blocks.size(); ++k) {
      weight += blocks[k].Weight;
      unit += (blocks[k].Unit - unit) * blocks[k].Weight / weight;
    }
    if (weight < MinHighWeight)
      break;
    fit.Known = true;
    double error = DeviationFactor * Deviation *
                   std::sqrt(1 / lowLoad.Weight + 1 / weight);
    double limit = low + std::max(KneeSlowdown, MinErrors * error);
    if (blocks[i].Unit > low + KneeSlowdown && unit > limit) {
      double slowLoad = centerOf(blocks[i].First);
      double part = (low + KneeSlowdown - fastUnit) /
                    std::max(blocks[i].Unit - fastUnit, KneeSlowdown / 4);
      fit.Knee = std::expm1(std::log1p(fastLoad) +
                            std::clamp(part, 0.0, 1.0) *
                                (std::log1p(slowLoad) - std::log1p(fastLoad)));
      fit.FastUpTo = std::min(fit.FastUpTo, fit.Knee);
      return fit;
    }
    if (blocks[i].Unit <= low + KneeSlowdown) {
      fastLoad = centerOf(blocks[i].Last);
      fastUnit = std::max(low, blocks[i].Unit);
      fit.FastUpTo = fastLoad;
    }
  }
  return fit;
}

KneeTable::Record &KneeTable::recordOf(const std::string &Id, ServerStage Stage,
                                       int64_t StartedAt) {
  Record &record = Records[{Id, Stage}];
  if (record.StartedAt != StartedAt) {
    double reported = record.Reported;
    record = Record{};
    record.Reported = reported;
  }
  record.StartedAt = StartedAt;
  return record;
}

LoadBands KneeTable::bandsAt(const Record &Item, TimePoint Now) {
  LoadBands bands;
  for (size_t i = 0; i < bands.size(); ++i) {
    const Band &band = Item.Bands[i];
    Milliseconds age = elapsed(band.At, Now);
    if (band.Weight > 0 && age <= MaxBandAge)
      bands[i] = {band.Unit, band.Weight * decay(age), age};
  }
  return bands;
}

void KneeTable::update(Record &Item, ServerStage Stage) {
  LoadBands bands = bandsAt(Item, Item.At);
  Item.Fit = fitKnee(bands, Deviations[static_cast<size_t>(Stage)]);
  if (Item.Fit.Knee > 0) {
    // Only slow calls confirm a knee: its bands age while others are sampled.
    for (size_t i = loadBandOf(Item.Fit.Knee); i < bands.size(); ++i)
      Item.KneeAt = std::max(Item.KneeAt, Item.Bands[i].At);
    if (Item.Knee <= 0 || Item.Fit.Knee > HeldRatio * Item.Knee ||
        Item.Fit.Knee * HeldRatio < Item.Knee)
      Item.Knee = Item.Fit.Knee;
  } else if (Item.Fit.Known && Item.Fit.FastUpTo >= Item.Knee) {
    Item.Knee = 0;
  }
}

void KneeTable::add(const PaceSample &Item, double Load, TimePoint Now) {
  if (!showsPace(Item) || !(Load >= 0) || !std::isfinite(Load))
    return;
  Record &record =
      recordOf(Item.Process.Id, Item.Stage, Item.Process.StartedAt);
  double taken = static_cast<double>(std::max<int64_t>(Item.Taken.count(), 1));
  double unit = std::log(taken / Item.Work);
  Band &band = record.Bands[loadBandOf(Load)];
  double weight =
      band.Weight > 0 ? band.Weight * decay(elapsed(band.At, Now)) : 0;
  if (weight <= 0) {
    band.Unit = unit;
  } else {
    double change = std::clamp(unit - band.Unit, -MaxChange, MaxChange);
    if (weight >= 2) {
      double &deviation = Deviations[static_cast<size_t>(Item.Stage)];
      deviation += DeviationWeight * (std::abs(change) - deviation);
    }
    band.Unit += change / (weight + 1);
  }
  band.Weight = std::min(weight + 1, MaxWeight);
  band.At = Now;
  record.At = std::max(record.At, Now);
  update(record, Item.Stage);
}

void KneeTable::merge(const PaceSummary &Item, TimePoint Now) {
  bool hasBands = std::ranges::any_of(
      Item.Bands, [](const LoadBand &It) { return It.Weight > 0; });
  if (!hasBands)
    return;
  Record &record = recordOf(Item.ServerId, Item.Stage, Item.StartedAt);
  for (size_t i = 0; i < Item.Bands.size(); ++i) {
    const LoadBand &other = Item.Bands[i];
    if (!(other.Weight > 0) || !std::isfinite(other.Unit) ||
        other.Age < Milliseconds(0) || other.Age > MaxBandAge)
      continue;
    Band later{other.Unit, std::min(other.Weight, MaxWeight), Now - other.Age};
    Band &own = record.Bands[i];
    if (own.Weight > 0 && later.At <= own.At + TransferTolerance)
      continue;
    if (own.Weight > 0 && later.At <= own.At + ConcurrentTime) {
      double weight = own.Weight * decay(elapsed(own.At, later.At));
      double share = weight / (weight + later.Weight);
      later.Unit += share * (own.Unit - later.Unit);
      later.Weight = std::max(weight, later.Weight);
    }
    own = later;
    record.At = std::max(record.At, own.At);
  }
  bool found = Item.Knee > 0 && std::isfinite(Item.Knee);
  if (found && record.Knee <= 0 && !record.Fit.Known) {
    record.Knee = Item.Knee;
    record.KneeAt = record.At;
  }
  update(record, Item.Stage);
}

void KneeTable::fill(PaceSummary &Item, TimePoint Now) const {
  auto it =
      Records.find(std::pair(std::string_view(Item.ServerId), Item.Stage));
  if (it == Records.end() || it->second.StartedAt != Item.StartedAt)
    return;
  Item.Knee = kneeOf(it->second, Now);
  for (size_t i = 0; i < Item.Bands.size(); ++i) {
    const Band &band = it->second.Bands[i];
    Milliseconds age = elapsed(band.At, Now);
    if (band.Weight > 0 && age <= MaxBandAge)
      Item.Bands[i] = {band.Unit, band.Weight, age};
  }
}

double KneeTable::kneeOf(const Record &Item, TimePoint Now) const {
  if (!Settings.Enabled || !Settings.Knee || Item.Knee <= 0 ||
      elapsed(Item.KneeAt, Now) > HeldTime)
    return 0;
  return std::max(Item.Knee, Settings.MinKnee);
}

bool KneeTable::differ(ServerStage Stage, TimePoint Now) const {
  Difference &kept = Differences[static_cast<size_t>(Stage)];
  if (kept.At && Now >= *kept.At && Now - *kept.At < DifferenceLifetime)
    return kept.Value;
  // By band: slowdowns compared with low load, and the sum of their variances
  // for a deviation of 1.
  std::array<std::vector<double>, LoadBandCount> slowdowns;
  std::array<double, LoadBandCount> variances{};
  bool known = false;
  for (const auto &[key, record] : Records) {
    if (key.second != Stage || elapsed(record.At, Now) > MaxBandAge)
      continue;
    known = known || kneeOf(record, Now) > 0;
    LoadBands bands = bandsAt(record, record.At);
    LowLoad low = lowLoadOf(bands);
    for (size_t i = low.Next; i < bands.size(); ++i)
      if (bands[i].Weight >= MinHighWeight) {
        slowdowns[i].push_back(bands[i].Unit - low.Unit);
        variances[i] += 1 / low.Weight + 1 / bands[i].Weight;
      }
  }
  double factor = kept.Value ? StillDifferent : 1;
  double deviation = DeviationFactor * Deviations[static_cast<size_t>(Stage)];
  size_t different = 0;
  for (size_t i = 0; i < slowdowns.size(); ++i) {
    std::vector<double> &values = slowdowns[i];
    if (values.size() < MinCompared)
      continue;
    std::ranges::sort(values);
    auto left =
        static_cast<size_t>(ComparedPart * static_cast<double>(values.size()));
    double range = values[values.size() - 1 - left] - values[left];
    double error = deviation *
                   std::sqrt(variances[i] / static_cast<double>(values.size()));
    different +=
        range > factor * std::max(KneeSlowdown, DifferentErrors * error) ? 1
                                                                         : 0;
  }
  kept = {known && different >= MinDifferentBands, Now};
  return kept.Value;
}

KneeEstimate KneeTable::estimateOf(const Key &Id, const Record &Item,
                                   TimePoint Now) const {
  return {Id.first,          Id.second,        kneeOf(Item, Now),
          Item.Fit.FastUpTo, Item.Fit.Samples, elapsed(Item.At, Now)};
}

std::optional<KneeEstimate> KneeTable::estimate(const std::string &ServerId,
                                                int64_t StartedAt,
                                                ServerStage Stage,
                                                TimePoint Now) const {
  auto it = Records.find(std::pair(std::string_view(ServerId), Stage));
  if (it == Records.end() || it->second.StartedAt != StartedAt)
    return std::nullopt;
  return estimateOf(it->first, it->second, Now);
}

size_t KneeTable::countKnown(TimePoint Now) const {
  return static_cast<size_t>(std::ranges::count_if(
      Records, [&](const auto &It) { return kneeOf(It.second, Now) > 0; }));
}

std::vector<KneeChange> KneeTable::takeChanges(TimePoint Now) {
  std::vector<KneeChange> changes;
  for (auto &[key, record] : Records) {
    double knee = kneeOf(record, Now);
    bool same = (knee > 0) == (record.Reported > 0) &&
                knee <= HeldRatio * record.Reported &&
                knee * HeldRatio >= record.Reported;
    if (same)
      continue;
    const char *reason = knee > 0 ? "calls above this load are slow"
                         : record.Knee > 0
                             ? "no evidence any more"
                             : "calls above the former knee are fast";
    if (knee <= 0 && record.Fit.Samples < MinLowWeight)
      reason = "another process of the server";
    changes.push_back({estimateOf(key, record, Now), record.Reported, reason});
    record.Reported = knee;
  }
  return changes;
}

void KneeTable::expire(TimePoint Now) {
  std::erase_if(Records, [&](const auto &It) {
    return elapsed(It.second.At, Now) > 2 * MaxBandAge;
  });
}

} // namespace crocusspur::gateway
