// A fake backend server whose process ends when it runs a request with a given
// content or begins to answer one with a given part in its prompt. After some
// time it starts again at its address, under a new id or under its id with a
// new start time. Serves plain requests, prefills and streams.
#ifndef CROCUSSPUR_TEST_CRASHING_SERVER_H
#define CROCUSSPUR_TEST_CRASHING_SERVER_H

#include "crocusspur/types.h"
#include "gateway_fleet.h"
#include "test_socket.h"

#include <condition_variable>
#include <memory>
#include <mutex>
#include <set>
#include <string>
#include <thread>
#include <vector>

namespace crocusspur::test {

// Requests whose body contains this end the server that runs them.
inline const std::string CrashingBody = "crash the server";

// What all servers of a test received that crashes them. Thread-safe.
class CrashLog {
public:
  void onArrival(const std::string &RequestId);
  void onCrash();
  size_t crashes() const;
  // Time of the Nth crash, counted from 1; nothing before it happened.
  std::optional<TimePoint> crashTime(size_t N) const;
  struct Arrival {
    TimePoint At;
    std::string RequestId;
  };
  std::vector<Arrival> arrivalsAfter(TimePoint Time) const;

private:
  mutable std::mutex Mutex;
  std::vector<Arrival> Arrivals;
  std::vector<TimePoint> Crashes;
};

struct CrashingServerOptions {
  std::string Id;
  std::string Service;
  std::string Stage;           // as registered; empty: a plain service
  Milliseconds DownTime{1500}; // from a crash to the next start
  bool FailsAll = false; // responds to every request with an error of its own
  // Whether it starts again under its id. Otherwise the entry of the ended
  // process stays beside that of its successor.
  bool KeepsId = false;
  // While it is down, connections are refused; otherwise they are opened and
  // closed at once.
  bool RefusesWhileDown = true;
  // Requests with this part in their prompts end the server this long after it
  // began to answer. Empty: none do.
  std::string CrashingPart{};
  Milliseconds CrashDelay{50};
  int StreamEvents = 8;
  Milliseconds EventInterval{5};
};

class CrashingServer {
public:
  CrashingServer(FakeStore &Store, CrashLog &Log,
                 CrashingServerOptions Options);
  ~CrashingServer();
  // Ends the process as a crash does, whatever it runs.
  void crash();
  std::string address() const { return "127.0.0.1:" + std::to_string(Port); }

private:
  void start();
  void supervise();
  void serve(int Fd);
  bool respond(int Fd, const std::string &Request);
  bool respondStream(int Fd, const std::string &Id, bool Crashes);
  // Waits. Returns false if the process ends meanwhile.
  bool pause(Milliseconds Time);

  FakeStore &Store;
  CrashLog &Log;
  const CrashingServerOptions Options;
  uint16_t Port = 0;
  int64_t StartedAt = 1764000000000;
  int Starts = 0;
  std::mutex Mutex;
  std::condition_variable Changed;
  bool Crashed = false;
  bool Stopping = false;
  std::set<int> Open;
  std::unique_ptr<ScriptServer> Process;
  std::thread Supervisor;
};

} // namespace crocusspur::test

#endif
