// Computes goodput, wasted prefill work and shares from the results of a replay
// and the engines' logs of runs.
#ifndef CROCUSSPUR_BENCH_LOAD_METRICS_H
#define CROCUSSPUR_BENCH_LOAD_METRICS_H

#include "load_trace.h"

#include <map>
#include <optional>
#include <string>
#include <vector>

namespace crocusspur::bench {

struct GroupTarget {
  double Share = 1;
  Microseconds FirstOutput{0};
  Microseconds MaxTokenInterval{0}; // mean time between tokens
  bool MayWait = false;             // there's no target for the first output
};

struct RequestResult {
  std::string Group;
  int Status = 0;        // 0: no response
  std::string Kind;      // of a problem document
  std::string Execution; // "run" of a problem document
  bool Complete = false;
  bool Ended = false; // false: cut off at the end of the replay
  uint32_t Tokens = 0;
  Microseconds At{0};    // planned start, from the start of the replay
  Microseconds First{0}; // arrival of the first token, likewise
  Microseconds Last{0};
};

// One prefill or decode as recorded by an engine. Times are in milliseconds
// from the start of the replay.
struct EngineRun {
  bool Decode = false;
  std::string Group;
  std::string Outcome;
  double Started = 0;
  double Ended = 0;
};

struct TimeWindow {
  double From = 0; // milliseconds
  double Until = 0;
};

bool meetsTargets(const RequestResult &Result, const GroupTarget &Target);

struct GroupCounts {
  uint32_t Requests = 0; // that ended before the cutoff
  uint32_t Open = 0;     // cut off at the end of the replay
  uint32_t Good = 0;
  uint32_t Refused = 0; // rejected with the statement that they weren't run
  uint32_t Failed = 0;  // incomplete for any other reason
  double P50 = 0;       // milliseconds to the first token
  double P99 = 0;
};

// Counts the requests of one group, or of all groups if the name is empty.
GroupCounts countResults(const std::vector<RequestResult> &Results,
                         const std::map<std::string, GroupTarget> &Targets,
                         const std::string &Group);

struct PrefillCounts {
  uint32_t Prefills = 0; // with a final outcome
  uint32_t Wasted = 0;   // never imported
};

PrefillCounts countPrefills(const std::vector<EngineRun> &Runs,
                            const std::string &Group);

// Decode slot seconds by group within the window.
std::map<std::string, double> slotSeconds(const std::vector<EngineRun> &Runs,
                                          const TimeWindow &Window);

// Slot seconds within the window of requests that meet their targets, or that
// are still open and have met them so far.
double usefulSeconds(const std::vector<RequestResult> &Results,
                     const std::map<std::string, GroupTarget> &Targets,
                     Microseconds TokenInterval, const TimeWindow &Window,
                     const std::string &Group);

// Tokens received within the window, assuming that the tokens of each response
// arrive at equal intervals.
double tokensWithin(const std::vector<RequestResult> &Results,
                    const TimeWindow &Window);

// Largest relative deviation of a group from its share of the slot seconds used
// by groups with `MayWait`, over all ten-second windows that start a whole
// number of seconds after `Window.From`. Returns nothing if `Window` is shorter
// than ten seconds.
std::optional<double>
shareDeviation(const std::vector<EngineRun> &Runs,
               const std::map<std::string, GroupTarget> &Targets,
               const std::string &Group, const TimeWindow &Window);

} // namespace crocusspur::bench

#endif
