// Estimates for each server of one service the load above which it slows down,
// from the durations of calls of this and other instances at different loads of
// the server. Does no I/O: callers pass the time.
//
// Intended for servers of which a third slow down at half of their slots, and
// for fleets in which one instance calls a given server every half minute.
#ifndef CROCUSSPUR_GATEWAY_KNEE_TABLE_H
#define CROCUSSPUR_GATEWAY_KNEE_TABLE_H

#include "crocusspur/types.h"
#include "gateway/decisions/placement/pace_table.h"

#include <array>
#include <cstddef>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace crocusspur::gateway {

// Returns the band of this many requests at a server.
size_t loadBandOf(double Load);

// What the bands of one server process show.
struct KneeFit {
  double Knee = 0;     // load; 0: no slowdown by load is seen
  double FastUpTo = 0; // highest load that was seen without a slowdown
  double Samples = 0;  // weight of all bands
  bool Known = false;  // whether there are samples at low and at higher load
};

// Compares the means of bands of higher load with those of the lowest ones.
// Ages are ignored: weights are those of now. `Deviation` is the mean absolute
// deviation of single samples from the mean of their band.
KneeFit fitKnee(const LoadBands &Bands, double Deviation);

struct KneeEstimate {
  std::string ServerId;
  ServerStage Stage = ServerStage::Whole;
  double Knee = 0;     // 0: none known
  double FastUpTo = 0; // highest load that was seen without a slowdown
  double Samples = 0;
  Milliseconds Age{0}; // of the latest evidence
};

// The knee of a server was found, has ended (0) or differs by a quarter.
struct KneeChange {
  KneeEstimate Now;
  double Former = 0;
  const char *Reason = ""; // a literal
};

class KneeTable {
public:
  void setSettings(const PaceSettings &Value) { Settings = Value; }

  // Adds the duration of a call beside this many requests at the server.
  // Ignores samples that don't show a pace, see showsPace().
  void add(const PaceSample &Item, double Load, TimePoint Now);
  // Adds the bands and the knee that a peer sent. Later evidence replaces
  // earlier one. Evidence of another process of the server replaces all.
  void merge(const PaceSummary &Item, TimePoint Now);
  // Adds what is known of the summary's process to it.
  void fill(PaceSummary &Item, TimePoint Now) const;

  // Whether some of the stage's servers slow down at a load at which others
  // don't.
  bool differ(ServerStage Stage, TimePoint Now) const;

  // What is known of a process of a server.
  std::optional<KneeEstimate> estimate(const std::string &ServerId,
                                       int64_t StartedAt, ServerStage Stage,
                                       TimePoint Now) const;
  // Number of servers with a knee.
  size_t countKnown(TimePoint Now) const;
  // Changes since the last call.
  std::vector<KneeChange> takeChanges(TimePoint Now);
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

  struct Band {
    double Unit = 0; // see LoadBand
    double Weight = 0;
    TimePoint At; // of the latest sample of any instance
  };
  struct Record {
    int64_t StartedAt = 0;
    std::array<Band, LoadBandCount> Bands{};
    TimePoint At;        // of the latest sample of any instance
    KneeFit Fit;         // of `Bands`
    double Knee = 0;     // as used, with hysteresis; 0: none
    TimePoint KneeAt;    // latest evidence for `Knee`
    double Reported = 0; // knee of the last KneeChange
  };

  Record &recordOf(const std::string &Id, ServerStage Stage, int64_t StartedAt);
  // Bands with the weights of this time.
  static LoadBands bandsAt(const Record &Item, TimePoint Now);
  void update(Record &Item, ServerStage Stage);
  // The knee as used, 0 if none.
  double kneeOf(const Record &Item, TimePoint Now) const;
  KneeEstimate estimateOf(const Key &Id, const Record &Item,
                          TimePoint Now) const;

  PaceSettings Settings;
  std::map<Key, Record, KeyLess> Records;
  std::array<double, 3> Deviations{0.2, 0.2, 0.2}; // by stage, see fitKnee()
  struct Difference {
    bool Value = false;
    std::optional<TimePoint> At;
  };
  mutable std::array<Difference, 3> Differences; // by stage, for some ms
};

} // namespace crocusspur::gateway

#endif
