// Helpers shared by the process tests of the guarantees P1 to P9: calls with
// idempotency keys, the outcomes that callers received, and the execution logs
// of the stand-ins.
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

// A call whose caller can disconnect before any response has arrived.
class RawCall {
public:
  explicit RawCall(const HttpRequest &Request);
  ~RawCall();
  RawCall(const RawCall &) = delete;
  RawCall &operator=(const RawCall &) = delete;
  // Reads until this text has arrived; returns false at the end of the response
  // or after WaitTimeout.
  bool waitForText(const std::string &Text);
  // Closes the connection immediately.
  void close();

private:
  int Fd = -1;
};

// Returns the index of the router that owns the only shard, according to router
// `Router`.
size_t ownerOf(ProcessFixture &Fleet, size_t Router);

// Options with short leases, so that takeovers take about two seconds.
FleetOptions shortLeaseOptions(uint32_t Routers);

// Returns "answered" for a success, "lost" if there was no response, otherwise
// the execution state ("run") in the problem document.
std::string outcomeOf(const HttpResponse &Response);

// Builds a non-idempotent call with this idempotency key ("" for none).
HttpRequest bookingRequest(const ProcessFixture &Fleet, size_t Router,
                           const std::string &Key);

// Returns the number of executions by all service servers for each idempotency
// key.
std::map<std::string, size_t> executionsByKey(ProcessFixture &Fleet);
size_t executions(ProcessFixture &Fleet, const std::string &Key);
// Returns the number of service calls that are currently running.
size_t runningCalls(ProcessFixture &Fleet);

// Returns a new timed key whose home is this router when all `Count` routers
// are live.
std::string keyWithHome(size_t Router, size_t Count);

// Sends new keys until one is executed, which shows that calls with keys
// succeed again. Returns false after WaitTimeout.
bool waitForKeyedCalls(ProcessFixture &Fleet, size_t Router);

// Sends calls until finish(): each key twice concurrently and once more
// afterwards, through routers selected at random from the seed.
class KeyedCallers {
public:
  struct SentKey {
    std::string Key;
    std::vector<std::string> Outcomes; // outcomeOf() of each response
    bool hasOnly(const std::string &Outcome) const;
    bool contains(const std::string &Outcome) const;
  };

  KeyedCallers(ProcessFixture &Fleet, size_t Threads, uint64_t Seed);
  ~KeyedCallers();

  // Waits until all calls of `Count` more keys have completed.
  bool waitForMore(size_t Count);
  // Stops sending and returns all keys with their outcomes.
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

// Checks the execution logs against the outcomes that the callers received: no
// key ran twice, no key ran for which all outcomes were "no", and each key with
// the outcome "answered" ran.
void checkAtMostOnce(ProcessFixture &Fleet,
                     const std::vector<KeyedCallers::SentKey> &Keys);

} // namespace crocusspur::test

#endif
