// Simulates several decision cores in virtual time, connected by ordered links,
// with fake engines that record what ran and what is held. Events of equal time
// are processed in the order of their creation, and all randomness comes from
// the seed, so a schedule is reproducible.
#ifndef CROCUSSPUR_TEST_CORE_NETWORK_H
#define CROCUSSPUR_TEST_CORE_NETWORK_H

#include "core_samples.h"

#include "crocusspur/decision_core.h"

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <queue>
#include <random>
#include <set>
#include <string>
#include <vector>

namespace crocusspur::test {

struct NetworkOptions {
  int Instances = 3;
  uint64_t Seed = 1;
  SampleOptions Sample;
  CoreOptions Core;        // instance, domain and incarnation are filled in
  Milliseconds Latency{1}; // of links, and to engines
  Milliseconds PrefillTime{60};   // of an engine, plus up to a half
  Milliseconds DecodeTime{200};   // of an engine, plus up to a half
  Milliseconds ServiceTime{30};   // of a service, plus up to a half
  Milliseconds EvictionTime{800}; // of an unused prefill result
  Milliseconds LoadPeriod{250};   // between polls of load reports
  Milliseconds LinkTimeout{1500}; // silence after which a link is closed
};

// The end of one request as its caller sees it.
struct CallerResponse {
  bool Complete = false; // whole response of a backend server
  bool Stored = false;   // AnswerStored
  ErrorKind Error = ErrorKind::Internal;
  ExecutionState Run = ExecutionState::No;
  Milliseconds RetryAfter{0};
  TimePoint At;
};

struct CallerRequest {
  RequestId Id;
  RequestSpec Spec;
  std::string Entry;
  TimePoint SentAt;
  std::optional<TimePoint> CancelledAt;
  bool EntryDied = false;
  std::vector<CallerResponse> Responses; // more than one violates P2
};

// One execution at a backend server: a prefill, decode or call that has
// started.
struct Execution {
  RequestId Id;
  Stage At = Stage::Prefill;
  std::string Server;
  TimePoint StartedAt;
  std::optional<TimePoint> Ended; // complete, cancelled or crashed
  bool Complete = false;
};

// A request that a backend server executes or holds memory for.
struct HeldResource {
  RequestId Id;
  std::string Server;
  TimePoint Since;
};

class CoreNetwork {
public:
  explicit CoreNetwork(NetworkOptions Options = {});
  ~CoreNetwork();

  // Instances are e1 to eN, servers as in core_samples.h.
  TimePoint now() const { return Now; }
  const NetworkOptions &options() const { return Options; }
  WallTime wall() const; // the same for all instances
  void runFor(Milliseconds Duration);
  // Runs until the condition holds; false if it doesn't within the limit.
  bool runUntil(const std::function<bool()> &Condition, Milliseconds Limit);
  bool runUntilReady(Milliseconds Limit = Milliseconds{5000});

  // Callers.
  RequestId submit(const std::string &Instance, RequestSpec Spec);
  void cancel(const RequestId &Id);
  // Returns a ticket of the instance's current incarnation.
  std::string makeTicket(const std::string &Instance);
  const CallerRequest &request(const RequestId &Id) const;
  const std::map<RequestId, CallerRequest> &requests() const {
    return CallerRequests;
  }

  // The platform. A document is read by every instance that watches the
  // platform and can reach it.
  void publishConfig(const std::string &Text);
  void publishList(const std::string &Text);
  uint64_t newestList() const { return List->Sequence; }
  void cutPlatform(const std::string &Instance, bool Cut = true);
  // The platform keeps returning the currently newest documents to the
  // instance.
  void freezePlatform(const std::string &Instance, bool Frozen = true);

  // Faults. A cut link holds its messages back and drops them when it is
  // reported down after the link timeout; a killed process is detected at once.
  void cut(const std::string &A, const std::string &B);
  void heal(const std::string &A, const std::string &B);
  void kill(const std::string &Instance);
  void restart(const std::string &Instance);
  // Suspends the process, which then handles all events that have queued up.
  void pause(const std::string &Instance, Milliseconds Duration);
  void shutdown(const std::string &Instance, Milliseconds Limit);
  bool stopped(const std::string &Instance) const; // shutdown is complete
  void killServer(const std::string &Server);
  void restartServer(const std::string &Server);
  bool serverAlive(const std::string &Server) const;
  // The server stays silent: requests get no response until their timeout.
  void stallServer(const std::string &Server, bool Stalled = true);
  // A request with this fingerprint kills each server that runs it.
  void addCrasher(uint64_t Fingerprint);
  // Returns the number of servers that this fingerprint has killed.
  size_t crashesBy(uint64_t Fingerprint) const;

  // Records.
  const std::vector<Execution> &executions() const { return Executions; }
  size_t executionsOf(const RequestId &Id, Stage At) const;
  std::vector<HeldResource> held() const;
  uint64_t configVersion(const std::string &Instance) const; // active
  uint64_t listSequence(const std::string &Instance) const;
  bool isReady(const std::string &Instance) const;
  // All decision records of all instances, in order.
  const std::vector<std::pair<std::string, DecisionRecord>> &decisions() const {
    return Decisions;
  }
  size_t countDecisions(DecisionKind Kind) const;
  std::string dump(const std::string &Instance) const;

private:
  struct Node;
  struct Server;
  using Pair = std::pair<std::string, std::string>; // in alphabetical order
  struct ScheduledEvent {
    TimePoint At;
    uint64_t Order;
    std::function<void()> Run;
  };
  struct RunsLater {
    bool operator()(const ScheduledEvent &A, const ScheduledEvent &B) const {
      return A.At != B.At ? A.At > B.At : A.Order > B.Order;
    }
  };
  struct Link {
    uint64_t Epoch = 0; // 0: down
    bool Cut = false;
    TimePoint SilentSince = TimePoint::max();
    std::vector<std::pair<std::string, SendToPeer>> HeldBack; // sender, message
  };
  // One stage that a relay waits for.
  struct Call {
    std::string Instance;
    uint64_t Incarnation = 0;
    RequestId Id;
    uint32_t Attempt = 0;
    Stage At = Stage::Prefill;
    std::string Server;
    std::string Source; // of the prefill result
    Milliseconds Timeout{0};
  };

  void after(Milliseconds Delay, std::function<void()> Run);
  Milliseconds addJitter(Milliseconds Base);
  Node &node(const std::string &Instance) const;
  void start(Node &Of);
  void fireTimer(const std::string &Instance, uint64_t Incarnation);
  void pollServers(const std::string &Instance, uint64_t Incarnation);
  void deliver(Node &To, EventBody Body);
  void deliverLater(const std::string &Instance, uint64_t Incarnation,
                    EventBody Body);
  void handle(Node &To, EventBody Body);
  void execute(Node &Of, const Action &Item);
  void readPlatform(Node &Of);
  void send(const std::string &From, const SendToPeer &Item);
  void watchLinks();
  void setLink(const Pair &Names, bool Up);
  void forward(Node &Of, const ForwardToHome &Item);
  void begin(const Call &Item, TimePoint NotAfter);
  void arriveAt(Server &On, const Call &Item);
  void run(Server &On, const Call &Item);
  void finish(size_t Index);
  void end(Server &On, size_t Index, StageOutcome Outcome);
  void report(const Call &Item, StageOutcome Outcome, uint32_t Tokens = 0);
  void cancelAt(const CancelAtServer &Item);
  void respond(const std::string &Instance, const RequestId &Id,
               CallerResponse Response);

  NetworkOptions Options;
  std::mt19937_64 Random;
  TimePoint Now = TimePoint(std::chrono::hours(24));
  uint64_t LastOrder = 0;
  uint64_t Counter = 0; // incarnations, epochs of links and servers
  uint64_t LastSequence = 0;
  std::priority_queue<ScheduledEvent, std::vector<ScheduledEvent>, RunsLater>
      EventQueue;
  std::map<std::string, std::unique_ptr<Node>> Nodes;
  std::map<std::string, std::unique_ptr<Server>> Servers;
  std::map<uint64_t, ConfigPtr> Configs; // published, by version
  InstanceListPtr List;
  std::map<Pair, Link> Links;
  std::map<RequestId, std::string> Homes; // of forwarded requests
  // Responses that the relays of an instance have ended and that its core
  // hasn't handled the report of yet. Such a relay ignores an error from the
  // core.
  std::set<std::pair<std::string, RequestId>> Unreported;
  std::map<uint64_t, size_t> Crashers; // to the number of servers killed
  std::map<RequestId, CallerRequest> CallerRequests;
  std::vector<Execution> Executions;
  std::vector<Call> ExecutionCalls; // same index as Executions
  std::vector<std::pair<std::string, DecisionRecord>> Decisions;
};

} // namespace crocusspur::test

#endif
