// What the proofs of the promises share: keyed calls, what callers were told,
// and what the stand-ins' books say.
#ifndef CROCUSSPUR_TEST_PROOF_SUPPORT_H
#define CROCUSSPUR_TEST_PROOF_SUPPORT_H

#include "process_fixture.h"

#include <atomic>
#include <condition_variable>
#include <map>
#include <mutex>
#include <random>
#include <string>
#include <thread>
#include <vector>

namespace crocusspur::test {

// A call whose caller can leave before any answer has come.
class RawCall {
public:
  explicit RawCall(const HttpRequest &Request);
  ~RawCall();
  RawCall(const RawCall &) = delete;
  RawCall &operator=(const RawCall &) = delete;
  // Reads until this text has come; false at the end of the answer or after a
  // generous limit.
  bool waitForText(const std::string &Text);
  // Closes the connection at once.
  void close();

private:
  int Fd = -1;
};

// Index of the router that owns the only shard, as this router sees it.
size_t ownerOf(ProcessFixture &Fleet, size_t Router);

// Short leases, so that takeovers take about two seconds.
FleetOptions shortLeaseOptions(uint32_t Routers);

// "answered" for a success, "lost" without an answer, otherwise the run state
// of the problem document.
std::string outcomeOf(const HttpResponse &Response);

// A call that may not be repeated, with this idempotency key ("" for none).
HttpRequest bookingRequest(const ProcessFixture &Fleet, size_t Router,
                           const std::string &Key);

// Executions by all service servers, by idempotency key.
std::map<std::string, size_t> executionsByKey(ProcessFixture &Fleet);
size_t executions(ProcessFixture &Fleet, const std::string &Key);
// Number of service calls that run now.
size_t runningCalls(ProcessFixture &Fleet);

// A new timed key whose home is this router when all `Count` are live.
std::string keyWithHome(size_t Router, size_t Count);

// Sends new keys until one is executed, which shows that keyed calls work
// again.
bool waitForKeyedCalls(ProcessFixture &Fleet, size_t Router);

// Sends each key twice at once and once more afterwards, through routers chosen
// by the seed, until it is ended.
class KeyedCallers {
public:
  struct SentKey {
    std::string Key;
    std::vector<std::string> Outcomes; // outcomeOf() of each answer
    bool hasOnly(const std::string &Outcome) const;
    bool contains(const std::string &Outcome) const;
  };

  KeyedCallers(ProcessFixture &Fleet, size_t Threads, uint64_t Seed);
  ~KeyedCallers();

  // Waits until this many more keys have been sent and answered.
  bool waitForMore(size_t Count);
  // Ends the calls and returns what was sent.
  std::vector<SentKey> finish();

private:
  void run(uint64_t Seed);
  SentKey sendKey(std::mt19937_64 &Random);

  ProcessFixture &Fleet;
  std::mutex Mutex;
  std::condition_variable Changed;
  bool Stopping = false;
  std::vector<SentKey> All;
  std::vector<std::thread> Threads;
};

// Checks the books against what the callers were told: no key ran twice, none
// ran whose caller was only told that it wasn't run, and each that was answered
// ran.
void checkAtMostOnce(ProcessFixture &Fleet,
                     const std::vector<KeyedCallers::SentKey> &Keys);

} // namespace crocusspur::test

#endif
