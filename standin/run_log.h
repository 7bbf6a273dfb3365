// Log of the prefills and decodes that a stand-in engine ran, for tests and
// benchmarks. Not thread-safe.
#ifndef STANDIN_RUN_LOG_H
#define STANDIN_RUN_LOG_H

#include <cstdint>
#include <deque>
#include <map>
#include <string>

namespace standin {

struct RunRecord {
  uint64_t Number = 0; // assigned in start order, from 1
  std::string Kind;    // prefill or decode
  std::string Request;
  uint64_t Attempt = 0;
  std::string Group;
  uint64_t Priority = 0;
  uint64_t Fence = 0;
  uint32_t PromptTokens = 0;
  uint32_t CachedTokens = 0;
  uint32_t OutputTokens = 0; // tokens written to the client
  uint32_t FirstIndex = 0;
  int64_t StartedMs = 0;
  int64_t EndedMs = 0; // 0: still running
  // Prefill: running, done, imported, evicted, cancelled, superseded.
  // Decode: running, done, cancelled, closed, superseded.
  std::string Outcome = "running";
};

class RunLog {
public:
  // Adds a record and returns its number.
  uint64_t start(RunRecord Record);
  // Returns null if the record is unknown or has been dropped because of its
  // age.
  RunRecord *find(uint64_t Number);
  void finish(uint64_t Number, const std::string &Outcome, int64_t NowMs);
  void countRefusal(const std::string &Reason) { ++Refused[Reason]; }
  void addOrder(const std::string &Kind, const std::string &Argument,
                uint64_t Fence);

  // Returns the records with numbers above `After` as JSON; `Held` is inserted
  // verbatim.
  std::string json(uint64_t After, const std::string &Held) const;

private:
  std::deque<RunRecord> Records;
  uint64_t LastNumber = 0;
  std::map<std::string, uint64_t> Totals; // "prefill_done" and so on
  std::map<std::string, uint64_t> Refused;
  std::string Orders;
};

} // namespace standin

#endif
