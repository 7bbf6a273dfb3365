// The backend servers that an instance knows, what it has seen of each, and the
// choice between them. Pure: times are passed in, draws come from a seed.
#ifndef CROCUSSPUR_GATEWAY_SERVER_REGISTRY_H
#define CROCUSSPUR_GATEWAY_SERVER_REGISTRY_H

#include "crocusspur/types.h"

#include <map>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <vector>

namespace crocusspur::gateway {

// Part of a request that a server of a model takes.
enum class ServerStage : uint8_t { Whole, Prefill, Decode };

const char *nameOf(ServerStage Stage); // as logs name it

// A server as it registered itself.
struct ServerEntry {
  std::string Id;
  std::string Service;
  std::string Address; // "IP:port"
  std::string FailureDomain;
  uint32_t Slots = 0;
  bool Leaving = false;
  ServerStage Stage = ServerStage::Whole;
  int64_t StartedAt = 0; // Unix milliseconds of the process's start; 0: unknown
  std::string Text;      // as registered, for peers
};

// Requests at a server as it reports them with an answer.
struct ServerLoad {
  uint32_t Running = 0;
  uint32_t Waiting = 0;
  uint32_t Slots = 0;
};

// How a call to a server ended, as far as it tells something about the server.
enum class CallResult : uint8_t {
  Succeeded,
  Failed,      // a failure status, a broken or unusable answer
  Overloaded,  // refused because it is full
  Unreachable, // no connection
  TimedOut,    // no answer in time
  Abandoned,   // given up for a reason that isn't the server's
};

struct ServerChoice {
  std::string Id;
  std::string Address;
  std::string FailureDomain;
  int64_t StartedAt = 0;
  bool Failing = false; // avoided after failures, or its entry is gone
};

// How a server is looked for.
struct ServerQuery {
  std::string Service;
  ServerStage Stage = ServerStage::Whole;
  std::set<std::string> ExcludedIds; // ids
};

class ServerRegistry {
public:
  ServerRegistry(std::string OwnDomain, uint64_t Seed)
      : OwnDomain(std::move(OwnDomain)), Random(Seed) {}

  // A server has registered or changed. A later start under the same id makes
  // it a new server: what was seen of the former one is forgotten.
  void apply(const ServerEntry &Entry, TimePoint Now);
  // The entry is gone. A server that didn't announce its leaving stays usable
  // as a last resort until `UsableUntil`, since entries also lapse while the
  // store is away.
  void remove(const std::string &Id, TimePoint UsableUntil);
  // Drops servers whose last use has passed.
  void expire(TimePoint Now);

  // Gives the server nothing until the time, or until it registers another
  // stage: it changes its stage, or refuses what it has reserved memory for.
  void exclude(const std::string &Id, TimePoint Until);

  const ServerEntry *find(const std::string &Id) const;
  std::vector<ServerEntry> entries() const;
  // Registered servers of a service in a stage that aren't leaving.
  uint32_t count(const std::string &Service, ServerStage Stage) const;

  // Whether a new request may be sent to the server.
  bool usable(const std::string &Id, int64_t StartedAt, TimePoint Now) const;

  // Best server, or nothing. Servers that fail are avoided and tried again
  // with few requests.
  std::optional<ServerChoice> choose(const ServerQuery &Query, TimePoint Now);
  // All usable servers, best first.
  std::vector<ServerChoice> rank(const ServerQuery &Query, TimePoint Now);

  // `Weight` is the part of the load that the call adds: 1 for a plain request,
  // tokens for a call to a model.
  void callStarted(const std::string &Id, double Weight);
  void callEnded(const std::string &Id, double Weight, CallResult Result,
                 TimePoint Now);
  void onLoadReport(const std::string &Id, const ServerLoad &Load,
                    TimePoint Now);

  struct Estimate {
    std::string Id;
    double OwnLoad = 0;
    double FailureShare = 0;
    bool Avoided = false;
  };
  std::vector<Estimate> estimates(TimePoint Now) const;

private:
  struct Server {
    ServerEntry Entry;
    std::optional<TimePoint> UsableUntil; // set when the entry is gone
    double OwnLoad = 0;
    uint32_t OwnCalls = 0;
    std::optional<ServerLoad> Load;
    uint32_t OwnCallsAtLoad = 0;
    TimePoint LoadAt;
    double FailureShare = 0; // moving average
    uint32_t ConsecutiveFailures = 0;
    TimePoint AvoidUntil;    // a last resort until then
    TimePoint ExcludedUntil; // not chosen at all until then
  };

  double score(const Server &Item, TimePoint Now) const;
  bool matches(const Server &Item, const ServerQuery &Query,
               TimePoint Now) const;

  std::string OwnDomain;
  std::mt19937_64 Random;
  std::map<std::string, Server> Servers;
};

} // namespace crocusspur::gateway

#endif
