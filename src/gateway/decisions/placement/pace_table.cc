#include "gateway/decisions/placement/pace_table.h"

#include <algorithm>
#include <cmath>

namespace crocusspur::gateway {
namespace {

// The time for a shorter prompt is mostly call overhead.
constexpr double MinPrefillTokens = 1000;
// Fewer samples say nothing of a server.
constexpr double MinSamples = 3;
constexpr double MaxSamples = 1000;
// The weight of a sample grows with the time since the one before, as the
// record of an instance may be older than what others know.
constexpr Milliseconds AverageTime{1000};
constexpr double MinWeight = 0.1;
constexpr double MaxWeight = 0.6;
// A single sample can't show more of a change than this factor.
const double MaxChange = std::log(6.0);
constexpr Milliseconds LongTermTime{30000};
constexpr Milliseconds MaxLongTermStep{5000};
// A pace without new evidence returns to its long-term average: half of the
// difference is left after each half-life.
constexpr Milliseconds EvidenceLifetime{2500};
constexpr Milliseconds EvidenceHalfLife{2000};
// Reported slowdowns change many times a second.
constexpr Milliseconds ReportLifetime{500};
constexpr double ReportWeight = 0.5;
const double MaxReported = std::log(10.0);
// Evidence of two instances of almost the same time is averaged.
constexpr Milliseconds ConcurrentTime{500};
constexpr double ConcurrentWeight = 0.4;
// Ages lose the time of their transfer, so that a record which comes back from
// a peer looks newer by some milliseconds.
constexpr Milliseconds TransferTolerance{20};
constexpr Milliseconds MaxEvidenceAge{60000};
constexpr Milliseconds MedianLifetime{50};
// Weight of the initial power, in squared logarithms: about eight samples at
// twice the load.
constexpr double FitPrior = 4;
constexpr double FitDecay = 0.995;
// Mean absolute deviation of samples from the average of their server, as a
// logarithm. Averages need more samples where it is above the usual.
constexpr double SpreadWeight = 0.05;
constexpr double SpreadFactor = 1;
constexpr double UsualSpread = 0.3;
// A sudden change of all servers also looks like a wide spread.
constexpr double MinSampleTrust = 0.3;
// A server that seems much faster has often just had no queue. Without a bound
// all instances fill it: at 82 % of the capacity of equal servers, 1 in 100
// prefills then took 2.6 s instead of 0.8 s.
constexpr double MaxFaster = 0.35;
const double LoggedChange = std::log(1.5);

// A prefill server reads prompts one after another or shares its rate between
// them. Others run requests side by side.
double initialPower(ServerStage Stage) {
  return Stage == ServerStage::Prefill ? 0.5 : 0;
}

double fraction(Milliseconds Part, Milliseconds Whole) {
  return static_cast<double>(Part.count()) / static_cast<double>(Whole.count());
}

Milliseconds elapsed(TimePoint From, TimePoint To) {
  return std::max(Milliseconds(0),
                  std::chrono::duration_cast<Milliseconds>(To - From));
}

} // namespace

bool showsPace(const PaceSample &Item) {
  return Item.Work > 0 && std::isfinite(Item.Work) &&
         (Item.Stage != ServerStage::Prefill || Item.Work >= MinPrefillTokens);
}

bool isMoreUseful(const PaceSummary &Left, const PaceSummary &Right) {
  return std::pair(!Left.IsChange, Left.Age) <
         std::pair(!Right.IsChange, Right.Age);
}

bool PaceTable::isKnown(const Record &Item) {
  return Item.Samples >= MinSamples;
}

PaceTable::Record &PaceTable::recordOf(const std::string &Id, ServerStage Stage,
                                       int64_t StartedAt) {
  Record &record = Records[{Id, Stage}];
  if (record.StartedAt != StartedAt)
    record = Record{};
  record.StartedAt = StartedAt;
  return record;
}

double PaceTable::loadPower(ServerStage Stage) const {
  const LoadFit &fit = Fits[static_cast<size_t>(Stage)];
  return std::clamp((fit.SumXY + FitPrior * initialPower(Stage)) /
                        (fit.SumXX + FitPrior),
                    0.0, 1.0);
}

void PaceTable::learnLoadPower(ServerStage Stage, double X, double Y) {
  LoadFit &fit = Fits[static_cast<size_t>(Stage)];
  fit.SumXX = FitDecay * fit.SumXX + X * X;
  fit.SumXY = FitDecay * fit.SumXY + X * Y;
}

void PaceTable::moveLongTerm(Record &Item, double Unit,
                             Milliseconds Elapsed) const {
  double weight =
      1 - std::exp(-fraction(std::min(Elapsed, MaxLongTermStep), LongTermTime));
  weight = std::max(weight, Item.Samples < 8 ? 1 / (Item.Samples + 1) : 0);
  Item.LongTerm += weight * (Unit - Item.LongTerm);
}

void PaceTable::add(const PaceSample &Item, TimePoint Now) {
  if (!showsPace(Item))
    return;
  double taken = static_cast<double>(std::max<int64_t>(Item.Taken.count(), 1));
  double unit = std::log(taken / Item.Work);
  double load = std::log1p(static_cast<double>(Item.Running));
  Record &record =
      recordOf(Item.Process.Id, Item.Stage, Item.Process.StartedAt);
  if (record.Samples < 1) {
    record.Unit = unit;
    record.Load = load;
    record.LongTerm = unit - loadPower(Item.Stage) * load;
    record.ReportedAtSamples = record.Reported;
  } else {
    if (isKnown(record)) {
      double residual = std::clamp(unit - record.Unit, -MaxChange, MaxChange);
      learnLoadPower(Item.Stage, load - record.Load, residual);
      double &spread = Spreads[static_cast<size_t>(Item.Stage)];
      spread +=
          SpreadWeight *
          (std::abs(residual - loadPower(Item.Stage) * (load - record.Load)) -
           spread);
    }
    Milliseconds since = elapsed(record.At, Now);
    double weight = std::clamp(1 - std::exp(-fraction(since, AverageTime)),
                               std::max(MinWeight, 1 / (record.Samples + 1)),
                               std::max(MaxWeight, 1 / (record.Samples + 1)));
    weight *= sampleTrust(Item.Stage);
    record.Unit +=
        weight * std::clamp(unit - record.Unit, -MaxChange, MaxChange);
    record.Load += weight * (load - record.Load);
    double reported = record.ReportedAtSamples.value_or(record.Reported);
    record.ReportedAtSamples = reported + weight * (record.Reported - reported);
    moveLongTerm(record, record.Unit - loadPower(Item.Stage) * record.Load,
                 since);
  }
  record.Samples = std::min(record.Samples + 1, MaxSamples);
  record.At = Now;
  record.ChangedAt = Now;
}

void PaceTable::onReportedSlowdown(const ServerProcess &Process,
                                   ServerStage Stage, double Factor,
                                   TimePoint Now) {
  if (!(Factor > 0) || !std::isfinite(Factor))
    return;
  Record &record = recordOf(Process.Id, Stage, Process.StartedAt);
  double value = std::clamp(std::log(Factor), -MaxReported, MaxReported);
  if (elapsed(record.ReportedAt, Now) > ReportLifetime)
    record.Reported = value;
  else
    record.Reported += ReportWeight * (value - record.Reported);
  record.ReportedAt = Now;
  if (!record.ReportedAtSamples)
    record.ReportedAtSamples = record.Reported;
}

bool PaceTable::merge(const PaceSummary &Item, TimePoint Now) {
  if (!(Item.UnitMs > 0) || !std::isfinite(Item.UnitMs) ||
      !std::isfinite(Item.Samples) || Item.Samples < 1 ||
      Item.Age < Milliseconds(0) || Item.Age > MaxEvidenceAge)
    return false;
  Record &record = recordOf(Item.ServerId, Item.Stage, Item.StartedAt);
  TimePoint at = Now - Item.Age;
  bool first = record.Samples < 1;
  if (!first && at <= record.At + TransferTolerance)
    return false;
  double unit = std::log(Item.UnitMs);
  if (first) {
    record.LongTerm = unit;
  } else {
    double own = record.Unit - loadPower(Item.Stage) * record.Load;
    if (at - record.At < ConcurrentTime)
      unit += ConcurrentWeight * (own - unit);
    moveLongTerm(record, unit, elapsed(record.At, at));
  }
  record.Unit = unit;
  record.Load = 0;
  bool reportIsFresh = elapsed(record.ReportedAt, Now) <= ReportLifetime;
  record.ReportedAtSamples =
      reportIsFresh ? std::optional(record.Reported) : std::nullopt;
  record.Samples =
      std::min(std::max(record.Samples + 1, Item.Samples), MaxSamples);
  record.At = at;
  record.ChangedAt = Now;
  return true;
}

std::vector<PaceSummary> PaceTable::changedSince(TimePoint Since, TimePoint Now,
                                                 size_t MaxCount) const {
  std::vector<PaceSummary> all;
  for (const auto &[key, record] : Records)
    if (record.Samples >= 1 && record.ChangedAt > Since &&
        elapsed(record.At, Now) <= MaxEvidenceAge) {
      double unit = record.Unit - loadPower(key.second) * record.Load;
      all.push_back({key.first,
                     record.StartedAt,
                     key.second,
                     std::exp(unit),
                     record.Samples,
                     elapsed(record.At, Now),
                     std::abs(unit - record.LongTerm) > LoggedChange,
                     0,
                     {}});
    }
  std::ranges::sort(all, isMoreUseful);
  if (all.size() > MaxCount)
    all.resize(MaxCount);
  return all;
}

double PaceTable::slowdownChange(const Record &Item, TimePoint Now) const {
  if (!Item.ReportedAtSamples)
    return 0;
  double age = fraction(elapsed(Item.ReportedAt, Now), ReportLifetime);
  // The report's effect ends gradually between one and three lifetimes.
  double weight = std::clamp((3 - age) / 2, 0.0, 1.0);
  return weight * (Item.Reported - *Item.ReportedAtSamples);
}

double PaceTable::unitNow(const Record &Item, ServerStage Stage,
                          TimePoint Now) const {
  double unit = Item.Unit - loadPower(Stage) * Item.Load;
  Milliseconds age = elapsed(Item.At, Now);
  if (age > EvidenceLifetime)
    unit = Item.LongTerm +
           std::exp2(-fraction(age - EvidenceLifetime, EvidenceHalfLife)) *
               (unit - Item.LongTerm);
  return unit + slowdownChange(Item, Now);
}

std::optional<double> PaceTable::median(ServerStage Stage,
                                        TimePoint Now) const {
  Median &kept = Medians[static_cast<size_t>(Stage)];
  if (kept.Value && Now >= kept.At && Now - kept.At < MedianLifetime)
    return kept.Value;
  std::vector<double> units;
  for (const auto &[key, record] : Records)
    if (key.second == Stage && isKnown(record) &&
        elapsed(record.At, Now) <= MaxEvidenceAge)
      units.push_back(unitNow(record, Stage, Now));
  kept = {std::nullopt, Now};
  if (units.empty())
    return std::nullopt;
  auto middle = units.begin() + static_cast<std::ptrdiff_t>(units.size() / 2);
  std::nth_element(units.begin(), middle, units.end());
  kept.Value = *middle;
  return kept.Value;
}

double PaceTable::logPace(const Key &Id, const Record &Item,
                          TimePoint Now) const {
  double most = std::log(Settings.MaxRatio);
  if (!isKnown(Item))
    return std::clamp(slowdownChange(Item, Now), -most, most);
  std::optional<double> middle = median(Id.second, Now);
  return middle
             ? std::clamp(unitNow(Item, Id.second, Now) - *middle, -most, most)
             : 0;
}

double PaceTable::sampleTrust(ServerStage Stage) const {
  double excess = Spreads[static_cast<size_t>(Stage)] / UsualSpread;
  return excess > 1 ? std::max(MinSampleTrust, 1 / (excess * excess)) : 1;
}

// Where durations of one server vary much, as those of queued calls do, the
// average of a few of them differs from the median by chance.
double PaceTable::deadBand(ServerStage Stage) const {
  return std::max(std::log(Settings.DeadBand),
                  SpreadFactor * Spreads[static_cast<size_t>(Stage)]);
}

double PaceTable::logPlacement(ServerStage Stage, double LogPace) const {
  double beyond = std::abs(LogPace) - deadBand(Stage);
  if (beyond <= 0)
    return 0;
  return LogPace < 0 ? -std::min(beyond, MaxFaster) : beyond;
}

double PaceTable::pace(const std::string &ServerId, ServerStage Stage,
                       TimePoint Now) const {
  auto it = Records.find(std::pair(std::string_view(ServerId), Stage));
  return it == Records.end() ? 1
                             : std::exp(logPace(it->first, it->second, Now));
}

double PaceTable::placementPace(const std::string &ServerId, ServerStage Stage,
                                TimePoint Now) const {
  auto it = Records.find(std::pair(std::string_view(ServerId), Stage));
  if (!Settings.Enabled || it == Records.end())
    return 1;
  return std::exp(logPlacement(Stage, logPace(it->first, it->second, Now)));
}

bool PaceTable::isUnknown(const std::string &ServerId,
                          ServerStage Stage) const {
  auto it = Records.find(std::pair(std::string_view(ServerId), Stage));
  return it == Records.end() || !isKnown(it->second);
}

std::optional<double> PaceTable::unitMs(const std::string &ServerId,
                                        ServerStage Stage,
                                        TimePoint Now) const {
  auto it = Records.find(std::pair(std::string_view(ServerId), Stage));
  std::optional<double> unit = median(Stage, Now);
  if (it != Records.end() && isKnown(it->second))
    unit = unitNow(it->second, Stage, Now);
  else if (it != Records.end() && unit)
    *unit += slowdownChange(it->second, Now);
  if (!Settings.Enabled || !unit)
    return std::nullopt;
  return std::exp(*unit);
}

std::optional<Milliseconds> PaceTable::expected(const std::string &ServerId,
                                                ServerStage Stage, double Work,
                                                TimePoint Now,
                                                double Others) const {
  std::optional<double> unit = unitMs(ServerId, Stage, Now);
  if (!unit || !(Work > 0))
    return std::nullopt;
  double ms = Work * *unit * std::exp(loadPower(Stage) * std::log1p(Others));
  return Milliseconds(static_cast<int64_t>(std::min(ms, 1e8)));
}

std::vector<PaceEstimate> PaceTable::estimates(TimePoint Now) const {
  std::vector<PaceEstimate> all;
  for (const auto &[key, record] : Records) {
    double pace = logPace(key, record, Now);
    all.push_back(
        {key.first, key.second, std::exp(pace),
         Settings.Enabled ? std::exp(logPlacement(key.second, pace)) : 1,
         record.Samples < 1 ? 0 : std::exp(unitNow(record, key.second, Now)),
         std::exp(record.Reported), record.Samples, elapsed(record.At, Now)});
  }
  return all;
}

std::vector<PaceChange> PaceTable::takeChanges(TimePoint Now) {
  std::vector<PaceChange> changes;
  std::vector<PaceEstimate> all = estimates(Now);
  auto it = all.begin();
  for (auto &[key, record] : Records) {
    double placement = std::log(it->Placement);
    if (std::abs(placement - record.Logged) > LoggedChange) {
      changes.push_back({*it, std::exp(record.Logged)});
      record.Logged = placement;
    }
    ++it;
  }
  return changes;
}

void PaceTable::expire(TimePoint Now) {
  std::erase_if(Records, [&](const auto &It) {
    return elapsed(std::max(It.second.At, It.second.ReportedAt), Now) >
           2 * MaxEvidenceAge;
  });
}

} // namespace crocusspur::gateway
