// Goodput, wasted prefill and shares, from the results of a replay and the
// engines' own books.
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
  bool MayWait = false;             // its first output has no target
};

struct RequestResult {
  std::string Group;
  int Status = 0;        // 0: no answer
  std::string Kind;      // of a problem document
  std::string Execution; // "run" of a problem document
  bool Complete = false;
  bool Ended = false; // false: cut off at the end of the replay
  uint32_t Tokens = 0;
  Microseconds At{0};    // planned start; the times below count from the same
  Microseconds First{0}; // arrival of the first token
  Microseconds Last{0};
};

// One prefill or decode as an engine recorded it; times in milliseconds from
// the start of the replay.
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
  uint32_t Requests = 0; // that have ended
  uint32_t Open = 0;     // cut off at the end of the replay
  uint32_t Good = 0;
  uint32_t Refused = 0; // not run, as the caller was told
  uint32_t Failed = 0;  // not whole for any other reason
  double P50 = 0;       // milliseconds to the first token
  double P99 = 0;
};

// Of one group, or of all if the name is empty.
GroupCounts countResults(const std::vector<RequestResult> &Results,
                         const std::map<std::string, GroupTarget> &Targets,
                         const std::string &Group);

struct PrefillCounts {
  uint32_t Prefills = 0; // whose fate is known
  uint32_t Wasted = 0;   // never imported
};

PrefillCounts countPrefills(const std::vector<EngineRun> &Runs,
                            const std::string &Group);

// Decode slot seconds by group within the window.
std::map<std::string, double> slotSeconds(const std::vector<EngineRun> &Runs,
                                          const TimeWindow &Window);

// Slot seconds of requests that meet their targets, or do so far, within the
// window.
double usefulSeconds(const std::vector<RequestResult> &Results,
                     const std::map<std::string, GroupTarget> &Targets,
                     Microseconds TokenInterval, const TimeWindow &Window,
                     const std::string &Group);

// Tokens that came within the window, as if each answer had an even pace.
double tokensWithin(const std::vector<RequestResult> &Results,
                    const TimeWindow &Window);

// Largest relative deviation of a waiting group from its share of the waiting
// groups' slot seconds, over all ten-second windows that start at whole
// seconds; nothing if the window is shorter.
std::optional<double>
shareDeviation(const std::vector<EngineRun> &Runs,
               const std::map<std::string, GroupTarget> &Targets,
               const std::string &Group, const TimeWindow &Window);

} // namespace crocusspur::bench

#endif
