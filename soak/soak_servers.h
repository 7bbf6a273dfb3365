// Backend servers of the soak test. They inject random faults and count the
// runs of each request, which the guarantees are checked against.
#ifndef CROCUSSPUR_SOAK_SOAK_SERVERS_H
#define CROCUSSPUR_SOAK_SOAK_SERVERS_H

#include "test_socket.h"

#include <map>
#include <mutex>
#include <random>
#include <set>
#include <string>

namespace crocusspur::soak {

// Counts runs by request id across all servers. Thread-safe.
class RunCounter {
public:
  void add(const std::string &Id);
  int count(const std::string &Id) const;

private:
  mutable std::mutex Mutex;
  std::map<std::string, int> Runs;
};

// Body of a plain service's response to the request, which the caller has to
// receive unchanged.
std::string expectedResponse(const std::string &Id);
constexpr int StreamEvents = 12;
// `Id`: of the caller's request that began the stream.
std::string expectedEvent(int Number, const std::string &Id,
                          const std::string &Version);

// A plain server, or a decode server that also handles prefill calls.
class SoakServer {
public:
  SoakServer(RunCounter &Executions, uint64_t Seed, std::string Version);
  ~SoakServer();
  std::string address() const { return Server.address(); }
  size_t openConnections();

private:
  void serve(int Fd);
  bool respond(int Fd, const std::string &Request);
  bool respondPlain(int Fd, const std::string &Id);
  bool respondStream(int Fd, const std::string &Request, const std::string &Id);
  unsigned randomBelow(unsigned Below);
  // The framing of responses has draws of its own, so that the other faults of
  // each seed stay what they are.
  bool drawUnframed();

  RunCounter &Executions;
  const std::string Version; // of its software
  std::mutex Mutex;
  std::mt19937_64 Random;
  std::mt19937_64 FramingRandom;
  std::set<int> OpenSockets;
  bool Stopping = false;
  ScriptServer Server;
};

} // namespace crocusspur::soak

#endif
