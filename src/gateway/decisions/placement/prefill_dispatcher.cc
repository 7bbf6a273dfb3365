#include "gateway/decisions/placement/prefill_dispatcher.h"

#include <algorithm>
#include <cmath>

namespace crocusspur::gateway {
namespace {

// Prefills take up to a second, and reports come with the sender's next
// request, which is 1 to 2 s later.
constexpr Milliseconds Retention{3000};
constexpr size_t MaxAssigned = 64; // for one server
constexpr size_t MaxCompletions = 64;
// An assignment reaches its server this much later: the response to the
// instance and its call, between failure domains.
constexpr Milliseconds TransferTime{6};
constexpr double CorrectionWeight = 0.3;
// PaceTable learns of a change within some seconds.
constexpr Milliseconds CorrectionTime{2000};
// One report can't show more of a change than this factor.
const double MaxCorrection = std::log(6.0);
// The time for a shorter prompt is mostly call overhead.
constexpr uint64_t MinReportTokens = 1000;
constexpr double TokenWeight = 0.1;

using FloatMs = std::chrono::duration<double, std::milli>;

TimePoint::duration ofMs(double Ms) {
  return std::chrono::duration_cast<TimePoint::duration>(
      FloatMs(std::min(Ms, 1e7)));
}

} // namespace

void PrefillDispatcher::expire(Server &Item, TimePoint Now) {
  while (!Item.Latest.empty() && (Now - Item.Latest.front().At > Retention ||
                                  Item.Latest.size() > MaxAssigned))
    Item.Latest.pop_front();
  while (!Item.Completions.empty() &&
         (Now - Item.Completions.front() > Retention ||
          Item.Completions.size() > MaxCompletions))
    Item.Completions.pop_front();
  if (Item.ReportAt && Now - *Item.ReportAt > Retention)
    Item.ReportAt.reset();
}

void PrefillDispatcher::addTokens(Server &Item, uint64_t Tokens) {
  Item.MeanTokens += (Item.MeanTokens > 0 ? TokenWeight : 1) *
                     (static_cast<double>(Tokens) - Item.MeanTokens);
}

double PrefillDispatcher::correction(const Server &Item, TimePoint Now) {
  return Item.Correction *
         std::exp(-FloatMs(std::max(Now, Item.CorrectedAt) - Item.CorrectedAt) /
                  CorrectionTime);
}

void PrefillDispatcher::addReport(Server &Item, const PrefillReport &Report,
                                  double UnitMs, TimePoint Now) {
  if (Report.Age > Retention)
    return;
  TimePoint end = Now - Report.Age;
  auto next = std::ranges::lower_bound(Item.Completions, end);
  double service =
      static_cast<double>(std::max<int64_t>(Report.Taken.count(), 1));
  if (next != Item.Completions.begin())
    service = std::clamp(FloatMs(end - *std::prev(next)).count(), 1.0, service);
  Item.Completions.insert(next, end);
  if (Report.Remaining && (!Item.ReportAt || end > *Item.ReportAt)) {
    Item.ReportAt = end;
    Item.Remaining = *Report.Remaining;
  }
  if (Report.Tokens < MinReportTokens || UnitMs <= 0)
    return;
  addTokens(Item, Report.Tokens);
  double known = correction(Item, Now);
  double seen =
      std::log(service / (static_cast<double>(Report.Tokens) * UnitMs));
  Item.Correction =
      known + CorrectionWeight *
                  (std::clamp(seen, -MaxCorrection, MaxCorrection) - known);
  Item.CorrectedAt = Now;
}

TimePoint PrefillDispatcher::freeAt(const Server &Item, double UnitMs,
                                    TimePoint Now) {
  TimePoint free;
  if (Item.ReportAt)
    free = *Item.ReportAt + ofMs(Item.Remaining * Item.MeanTokens * UnitMs);
  for (const Assigned &it : Item.Latest)
    if (!Item.ReportAt || it.At + TransferTime > *Item.ReportAt)
      free = std::max(free, it.At + TransferTime) + ofMs(it.Tokens * UnitMs);
  return std::max(free, Now);
}

PrefillAssignment
PrefillDispatcher::assign(const PrefillAsk &Ask,
                          const std::vector<DispatchServer> &Candidates,
                          TimePoint Now) {
  for (const DispatchServer &it : Candidates) {
    Server &server = Servers[it.Id];
    if (server.StartedAt != it.StartedAt)
      server = Server{};
    server.StartedAt = it.StartedAt;
    expire(server, Now);
    for (const PrefillReport &report : Ask.Reports)
      if (report.ServerId == it.Id && report.StartedAt == it.StartedAt)
        addReport(server, report, it.UnitMs, Now);
  }
  const DispatchServer *best = nullptr;
  TimePoint bestEnd = TimePoint::max();
  TimePoint bestFree;
  for (const DispatchServer &it : Candidates) {
    if (!it.Usable || it.UnitMs <= 0 ||
        std::ranges::find(Ask.Excluded, it.Id) != Ask.Excluded.end())
      continue;
    const Server &server = Servers[it.Id];
    double unit = it.UnitMs * std::exp(correction(server, Now));
    TimePoint free = freeAt(server, unit, Now);
    TimePoint end = free + ofMs(static_cast<double>(Ask.Tokens) * unit);
    if (end >= bestEnd)
      continue;
    best = &it;
    bestEnd = end;
    bestFree = free;
  }
  std::erase_if(Servers, [&](const auto &It) {
    const Server &server = It.second;
    return server.Latest.empty() && server.Completions.empty() &&
           !(best && It.first == best->Id);
  });
  if (!best)
    return {};
  Server &server = Servers[best->Id];
  addTokens(server, Ask.Tokens);
  server.Latest.push_back({Now, static_cast<double>(Ask.Tokens)});
  return {best->Id, best->StartedAt,
          std::chrono::duration_cast<Milliseconds>(bestFree - Now),
          std::chrono::duration_cast<Milliseconds>(bestEnd - bestFree)};
}

std::vector<PrefillDispatcher::Queue>
PrefillDispatcher::queues(TimePoint Now) const {
  std::vector<Queue> all;
  for (const auto &[id, server] : Servers) {
    Queue queue{id, server.Latest.size(), std::exp(correction(server, Now))};
    if (server.ReportAt)
      queue.ReportAge =
          std::chrono::duration_cast<Milliseconds>(Now - *server.ReportAt);
    all.push_back(queue);
  }
  return all;
}

} // namespace crocusspur::gateway
