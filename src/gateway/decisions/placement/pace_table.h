// Estimates how fast each server of one service works, from the durations of
// calls of this and other instances and from what servers report. Does no I/O:
// callers pass the time.
//
// Intended for servers that take 0.6 to 1.6 times the usual time, of which some
// take 2.5 times as long for 600 ms or 5 times as long for 6.5 s, and for
// fleets in which one instance calls a given server every half minute.
#ifndef CROCUSSPUR_GATEWAY_PACE_TABLE_H
#define CROCUSSPUR_GATEWAY_PACE_TABLE_H

#include "crocusspur/types.h"
#include "gateway/decisions/leaving_servers.h"
#include "gateway/decisions/server_stage.h"

#include <array>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace crocusspur::gateway {

struct PaceSettings {
  bool Enabled = true;
  // Servers whose pace, or its reciprocal, is below this count as equal.
  double DeadBand = 1.3;
  double MaxRatio = 10; // bound of the pace, and of its reciprocal
  // Whether the owners of shards dispatch prefills; see PrefillDispatcher.
  bool Dispatch = true;
  bool Knee = true;   // whether servers above their knee are avoided
  double MinKnee = 2; // lower bound of a knee, in requests at the server
  bool operator==(const PaceSettings &) const = default;
};

// One call of this instance.
struct PaceSample {
  ServerProcess Process;
  ServerStage Stage = ServerStage::Whole;
  double Work = 1; // tokens, or 1 for a plain request
  Milliseconds Taken{0};
  uint32_t Running = 0; // requests at the server, as reported
};

// Whether the duration of the call is of use: there is work, and enough of it.
bool showsPace(const PaceSample &Item);

// Durations at a range of load of a server, see KneeTable.
struct LoadBand {
  double Unit = 0;     // mean logarithm of milliseconds per unit of work
  double Weight = 0;   // number of samples as of the latest; halves with time
  Milliseconds Age{0}; // of the latest sample
};
constexpr size_t LoadBandCount = 12;
using LoadBands = std::array<LoadBand, LoadBandCount>;

// What is known of one process of a server, for peers.
struct PaceSummary {
  std::string ServerId;
  int64_t StartedAt = 0; // of its process
  ServerStage Stage = ServerStage::Whole;
  double UnitMs = 0; // time for one unit of work of a request alone
  double Samples = 0;
  Milliseconds Age{0}; // of the latest sample of any instance
  // Whether the time differs from the process's long-term average. Not sent.
  bool IsChange = false;
  double Knee = 0; // see KneeTable; 0: none known
  LoadBands Bands{};
};

// Orders summaries by what peers need first: changes, then late evidence.
bool isMoreUseful(const PaceSummary &Left, const PaceSummary &Right);

struct PaceEstimate {
  std::string ServerId;
  ServerStage Stage = ServerStage::Whole;
  double Pace = 1;      // relative to the median
  double Placement = 1; // as used for placement, after dead band and bounds
  double UnitMs = 0;
  double Slowdown = 1; // as reported
  double Samples = 0;
  Milliseconds Age{0}; // of the latest sample
};

// The pace of a server for placement has changed by more than half.
struct PaceChange {
  PaceEstimate Now;
  double Former = 1;
};

class PaceTable {
public:
  void setSettings(const PaceSettings &Value) { Settings = Value; }

  // Adds the duration of a call. Ignores prompts that are too short to show
  // the server's pace.
  void add(const PaceSample &Item, TimePoint Now);
  // What a server says of itself; 1: work takes as long as usual. Only changes
  // of the figure between samples count, so it may or may not include a
  // permanent difference to other servers.
  void onReportedSlowdown(const ServerProcess &Process, ServerStage Stage,
                          double Factor, TimePoint Now);
  // Adds what a peer knows. Newer evidence replaces older one. Returns whether
  // it was new.
  bool merge(const PaceSummary &Item, TimePoint Now);
  // Records that changed after this time, the most useful first; at most
  // `MaxCount`.
  std::vector<PaceSummary> changedSince(TimePoint Since, TimePoint Now,
                                        size_t MaxCount) const;

  // Time per unit of work relative to the median of the servers of the stage;
  // 1: at the median, or unknown.
  double pace(const std::string &ServerId, ServerStage Stage,
              TimePoint Now) const;
  // The same for placement: 1 within the dead band or if switched off.
  double placementPace(const std::string &ServerId, ServerStage Stage,
                       TimePoint Now) const;
  // Whether too little is known of the server's pace.
  bool isUnknown(const std::string &ServerId, ServerStage Stage) const;
  // Milliseconds for one unit of work of a request alone. That of a server at
  // the median if the server is unknown; nothing if all are.
  std::optional<double> unitMs(const std::string &ServerId, ServerStage Stage,
                               TimePoint Now) const;
  // Expected duration of a call beside `Others` requests at the server. That of
  // a server at the median if the server is unknown; nothing if all are.
  std::optional<Milliseconds> expected(const std::string &ServerId,
                                       ServerStage Stage, double Work,
                                       TimePoint Now, double Others = 0) const;

  std::vector<PaceEstimate> estimates(TimePoint Now) const;
  // Changes since the last call.
  std::vector<PaceChange> takeChanges(TimePoint Now);
  // Forgets servers without evidence for long.
  void expire(TimePoint Now);

private:
  using Key = std::pair<std::string, ServerStage>;
  // Compares without a copy of the id; each choice looks up all servers.
  struct KeyLess {
    using is_transparent = void;
    bool operator()(const auto &Left, const auto &Right) const {
      return std::pair(std::string_view(Left.first), Left.second) <
             std::pair(std::string_view(Right.first), Right.second);
    }
  };

  // Values are logarithms of milliseconds per unit of work, and of factors.
  struct Record {
    int64_t StartedAt = 0;
    double Samples = 0;
    double Unit = 0;     // moving average of the samples
    double LongTerm = 0; // of `Unit`
    // Moving average of log(1 + other requests); part of `Unit`.
    double Load = 0;
    TimePoint At;        // of the latest sample
    TimePoint ChangedAt; // when this instance learned of it
    double Reported = 0; // latest slowdown, smoothed
    TimePoint ReportedAt;
    // Average slowdown at the time of the samples; nothing: not known yet.
    std::optional<double> ReportedAtSamples = 0;
    double Logged = 0; // placement pace of the last PaceChange
  };

  // Power to which (1 + others) enters the duration, fitted by regression.
  struct LoadFit {
    double SumXX = 0;
    double SumXY = 0;
  };

  Record &recordOf(const std::string &Id, ServerStage Stage, int64_t StartedAt);
  double loadPower(ServerStage Stage) const;
  void learnLoadPower(ServerStage Stage, double X, double Y);
  // Estimated log of milliseconds per unit of work now, of a request alone.
  double unitNow(const Record &Item, ServerStage Stage, TimePoint Now) const;
  double slowdownChange(const Record &Item, TimePoint Now) const;
  static bool isKnown(const Record &Item);
  void moveLongTerm(Record &Item, double Unit, Milliseconds Elapsed) const;
  std::optional<double> median(ServerStage Stage, TimePoint Now) const;
  double logPace(const Key &Id, const Record &Item, TimePoint Now) const;
  double logPlacement(ServerStage Stage, double LogPace) const;
  // Factor for the weight of a sample, by the spread of the samples.
  double sampleTrust(ServerStage Stage) const;
  // Placement ignores differences below it; a logarithm.
  double deadBand(ServerStage Stage) const;

  PaceSettings Settings;
  std::map<Key, Record, KeyLess> Records;
  std::array<LoadFit, 3> Fits;     // by stage
  std::array<double, 3> Spreads{}; // by stage, see deadBand()
  struct Median {
    std::optional<double> Value;
    TimePoint At;
  };
  mutable std::array<Median, 3> Medians; // by stage, for some milliseconds
};

} // namespace crocusspur::gateway

#endif
