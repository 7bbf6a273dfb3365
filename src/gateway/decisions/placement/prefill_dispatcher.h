// Assigns prefills to the servers of shards for all instances, as the owner of
// these shards. Does no I/O: callers pass the time.
//
// Intended for 65 instances that make fewer than 2 prefill calls per second
// each, at 100 to 250 prefills per second on 17 to 32 servers of paces 0.6 to
// 1.6: calls that are placed without sight of the queues wait behind each other
// while other servers are idle.
#ifndef CROCUSSPUR_GATEWAY_PREFILL_DISPATCHER_H
#define CROCUSSPUR_GATEWAY_PREFILL_DISPATCHER_H

#include "crocusspur/types.h"
#include "gateway/decisions/placement/prefill_shards.h"

#include <deque>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace crocusspur::gateway {

// A prefill that an instance has completed.
struct PrefillReport {
  std::string ServerId;
  int64_t StartedAt = 0; // of the server's process
  uint64_t Tokens = 0;
  Milliseconds Taken{0};
  Milliseconds Age{0}; // since its end
  // Requests running and waiting at the server then, as it reported.
  std::optional<uint32_t> Remaining;
};

// What an instance asks the owner of a shard.
struct PrefillAsk {
  std::string Service;
  uint32_t Shard = 0;
  uint64_t Tokens = 0; // of the prompt
  std::vector<std::string> Excluded;
  // Of servers of the shard, since the last request to its owner.
  std::vector<PrefillReport> Reports;
};

struct PrefillAssignment {
  std::string ServerId; // empty: the owner has no server for it
  int64_t StartedAt = 0;
  Milliseconds Wait{0};     // expected, until the server begins it
  Milliseconds Duration{0}; // expected, from then on
};

// Prefills of one service.
class PrefillDispatcher {
public:
  // Takes in the reports, then returns the server at which the prompt is
  // expected to end first, and counts it as assigned. `Servers`: those of the
  // shard, with the paces that this instance knows.
  PrefillAssignment assign(const PrefillAsk &Ask,
                           const std::vector<DispatchServer> &Servers,
                           TimePoint Now);

  // For the state dump.
  struct Queue {
    std::string ServerId;
    size_t Assigned = 0;        // lately
    double UnitMs = 0;          // time for one token, by the reports; 0: none
    Milliseconds ReportAge{-1}; // of the latest report; -1: none
  };
  std::vector<Queue> queues(TimePoint Now) const;

private:
  struct Assigned {
    TimePoint At;
    double Tokens = 0;
  };
  struct Completion {
    TimePoint At;
    std::optional<uint32_t> Remaining; // requests, then
  };
  struct Server {
    int64_t StartedAt = 0;
    std::deque<Assigned> Latest;
    std::deque<Completion> Completions; // in order of time
    double MeanTokens = 0;              // of a prompt
    double Unit = 0; // logarithm of milliseconds per token, by the reports
    std::optional<TimePoint> UnitAt; // when it was last corrected
  };

  static void expire(Server &Item, TimePoint Now);
  static void addTokens(Server &Item, uint64_t Tokens);
  static void addReport(Server &Item, const PrefillReport &Report,
                        double KnownMs, TimePoint Now);
  // Time for one token now, by the reports and by what is known without them.
  static double unitOf(const Server &Item, double KnownMs, TimePoint Now);
  // When the server is expected to have completed all its work. `Factor`: on
  // the time for what was assigned since the latest report.
  static TimePoint freeAt(const Server &Item, double UnitMs, double Factor,
                          TimePoint Now);

  std::map<std::string, Server> Servers;
};

} // namespace crocusspur::gateway

#endif
