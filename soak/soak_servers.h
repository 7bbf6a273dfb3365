// Backend servers of the soak test. They inject random faults and count the
// runs of each request, which the guarantees are checked against.
#ifndef CROCUSSPUR_SOAK_SOAK_SERVERS_H
#define CROCUSSPUR_SOAK_SOAK_SERVERS_H

#include "crocusspur/types.h"
#include "test_socket.h"

#include <functional>
#include <map>
#include <mutex>
#include <random>
#include <set>
#include <string>
#include <vector>

namespace crocusspur::soak {

// A run of a request at the server process that was started then.
struct RunRecord {
  std::string RequestId;        // of the caller's attempt
  int64_t ProcessStartedAt = 0; // Unix milliseconds
  TimePoint BegunAt;
};

// Counts runs by request id across all servers. Thread-safe.
class RunCounter {
public:
  // Returns the number of the run, which no other run has.
  uint64_t add(const std::string &Id, int64_t ProcessStartedAt);
  int count(const std::string &Id) const;
  RunRecord record(uint64_t Run) const;

private:
  mutable std::mutex Mutex;
  std::map<std::string, int> Runs;
  std::vector<RunRecord> Records; // by number
};

// Body of a plain service's response to the request, which the caller has to
// receive unchanged.
std::string expectedResponse(const std::string &Id);

// What a decode server does wrong in one run of a stream.
enum class StreamFault : uint8_t {
  None,
  End,   // ends the connection, inside an event if the body is unframed
  Reset, // resets the connection
  EndInsideEvent, // ends the body by its framing, inside an event
  Silence,        // goes on after it
  // Only if the run is asked to go on after an event:
  BeginAgain, // at the first event
  OtherText,  // a success with an error's text
};

struct RunPlan {
  StreamFault Fault = StreamFault::None;
  int FaultyEvent = 0;
  size_t FaultyByte = 0; // to be taken modulo the size of the event
  Milliseconds Silence{0};
  Milliseconds Pause{0}; // between events
};

std::string chunk(const std::string &Data);
// Of a signed response to the request; ends with the empty line.
std::string responseHead(int Status, const std::string &Id,
                         const std::string &Fields);

class SoakServer;

// A run of a stream that a server is asked for.
struct StreamCall {
  int Fd = -1;
  const std::string &Request;
  const std::string &RequestId;
  uint64_t Run = 0;
};

// Responds to it. Returns whether the connection stays open.
using StreamHook = std::function<bool(SoakServer &, const StreamCall &)>;

// A plain server, or a decode server that also handles prefill calls.
class SoakServer {
public:
  // `StartedAt`: Unix milliseconds. `Streams` responds to all requests that
  // run, if there is one. `Port` 0: chosen by the kernel.
  SoakServer(RunCounter &Executions, uint64_t Seed, std::string Id,
             std::string Version, int64_t StartedAt, StreamHook Streams = {},
             uint16_t Port = 0);
  ~SoakServer();
  std::string address() const { return Server.address(); }
  const std::string &id() const { return Id; }
  const std::string &version() const { return Version; }
  int64_t startedAt() const { return StartedAt; }
  // Ends all connections, as the end of the process does. Responses that are
  // delimited by the connection's end are reset, since callers can't tell
  // another end from theirs.
  void endConnections();
  // A response without framing begins on the connection.
  void markUnframed(int Fd);

private:
  void serve(int Fd);
  bool respond(int Fd, const std::string &Request);
  bool respondPlain(int Fd, const std::string &Id);
  bool respondStream(int Fd, const std::string &Request,
                     const std::string &RequestId, uint64_t Run);
  unsigned randomBelow(unsigned Below);
  // The framing of responses has draws of its own, so that the other faults of
  // each seed stay what they are.
  bool drawUnframed();
  // The same for the faults of streams. `From`: number of the first event.
  RunPlan drawPlan(int From, bool GoesOn);

  RunCounter &Executions;
  const std::string Id;
  const std::string Version; // of its software
  const int64_t StartedAt;
  const StreamHook Streams;
  std::mutex Mutex;
  std::mt19937_64 Random;
  std::mt19937_64 FramingRandom;
  std::mt19937_64 StreamRandom;
  std::set<int> OpenSockets;
  std::set<int> UnframedSockets; // that a response without framing began on
  bool Stopping = false;
  ScriptServer Server;
};

} // namespace crocusspur::soak

#endif
