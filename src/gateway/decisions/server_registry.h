// Registry of the backend servers that an instance knows: their entries,
// observed load and failures, and the selection between them. Does no I/O:
// callers pass the time, and random numbers come from a seeded generator.
#ifndef CROCUSSPUR_GATEWAY_SERVER_REGISTRY_H
#define CROCUSSPUR_GATEWAY_SERVER_REGISTRY_H

#include "crocusspur/types.h"
#include "gateway/decisions/leaving_servers.h"
#include "gateway/decisions/placement/knee_table.h"
#include "gateway/decisions/placement/pace_table.h"
#include "gateway/decisions/placement/prefill_shards.h"
#include "gateway/decisions/server_fullness.h"
#include "gateway/decisions/server_stage.h"

#include <map>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <string_view>
#include <vector>

namespace crocusspur::gateway {

// Registration of a server.
struct ServerEntry {
  std::string Id;
  std::string Service;
  std::string Address; // "IP:port"
  std::string FailureDomain;
  std::string Version; // of its software
  uint32_t Slots = 0;
  bool Leaving = false; // as registered; see ServerRegistry::isLeaving()
  ServerStage Stage = ServerStage::Whole;
  int64_t StartedAt = 0; // Unix milliseconds of the process's start; 0: unknown
  std::string Text;      // as registered, for peers
};

// Requests at a server, as reported with its responses.
struct ServerLoad {
  uint32_t Running = 0;
  uint32_t Waiting = 0;
  uint32_t Slots = 0;
  // How long work takes at the server at this moment, as a multiple of the
  // usual time; nothing: not reported.
  std::optional<double> Slowdown{};
};

// How a call to a server ended, for the assessment of the server.
enum class CallResult : uint8_t {
  Succeeded,
  Failed,      // failure status, or a broken or unusable response
  Overloaded,  // refused because the server is full
  Unreachable, // no connection
  TimedOut,    // no response in time
  Abandoned,   // cancelled for a reason unrelated to the server
};

// Identifies a software version among the servers of a service, the same on
// every instance. Never 0.
using VersionKey = uint64_t;
VersionKey versionKeyOf(std::string_view Version);

struct ServerChoice {
  std::string Id;
  std::string Address;
  std::string FailureDomain;
  std::string Version; // of its software
  int64_t StartedAt = 0;
  bool Failing = false; // avoided after failures, or its entry was removed
  std::string Service{};
};

ServerProcess processOf(const ServerEntry &Entry);
ServerProcess processOf(const ServerChoice &Server);

// How much load a server handles well.
struct ServerCapacity {
  // Requests at the server up to which a request takes at most 1.5 times as
  // long as at low load. Without evidence its number of slots, 0 if it
  // registers none: no limit is known.
  double Knee = 0;
  double Samples = 0;
  Milliseconds Age{0}; // of the latest sample
  bool Known = false;  // whether the knee is estimated
};

// Criteria for the selection of a server.
struct ServerQuery {
  std::string Service;
  ServerStage Stage = ServerStage::Whole;
  std::set<std::string> ExcludedIds;
  // Only servers of this software version. What two versions write doesn't fit
  // together, so a stream goes on at the version that sent its first event.
  std::optional<VersionKey> Version;
};

// A server of a query with what its choice rests on, for operators.
struct ServerCandidate {
  ServerChoice Choice;
  // Why it gets no new request; empty: it may.
  const char *Bar = "";
  bool LastResort = false; // its entry was removed, or its address claimed
  bool Avoided = false;    // after failures or refusals, for some time
  bool Full = false;
  double Load = 0; // requests, of all instances as far as known
  double FailureRate = 0;
  double Pace = 1;  // 1: that of most servers; more is slower
  double Score = 0; // of rank(), without its draw; less is better
  ServerCapacity Capacity;
  std::optional<double> LimitPerSecond; // that it states
};

// Longest time for which a server can refuse requests in advance. One more
// request then shows whether it still does.
constexpr Milliseconds MaxRest{60000};

class ServerRegistry {
public:
  ServerRegistry(std::string OwnDomain, uint64_t Seed)
      : OwnDomain(std::move(OwnDomain)), Random(Seed) {}

  // Adds or updates a server. A restart under the same id, which shows in its
  // start time, address or software version, makes it a new server, whose
  // observations start empty. `WrittenAfter`: the entry was written later;
  // nothing: at `Now`.
  void apply(const ServerEntry &Entry, TimePoint Now,
             std::optional<TimePoint> WrittenAfter = std::nullopt);
  // Records that a process leaves, which it has said in a response or told a
  // peer. It gets no new request from now on, whatever its entry says. Returns
  // whether that is new.
  bool addLeaving(const LeavingServer &Item, TimePoint Now);
  // Whether the process that the server's entry names has said that it leaves.
  bool isLeaving(const std::string &Id) const;
  const LeavingServers &leaving() const { return Leaving; }

  // Records that the entry was removed. A server that didn't announce its
  // leaving stays usable as a last resort until `UsableUntil`, since entries
  // also expire while the store is unavailable.
  void remove(const std::string &Id, TimePoint UsableUntil);
  // Another server's entry, written later, names this server's address. It
  // stays usable as a last resort, until that claim is disproved: an entry of
  // another writer may name any address. Returns whether the claim is new.
  bool onAddressClaimed(const std::string &Id, const std::string &ClaimantId);
  // The server at the process's address says that it isn't this one, so that
  // what its entry claims of the address counts no more.
  void onClaimDisproved(const ServerProcess &Process);
  // Removes servers whose `UsableUntil` has passed.
  void expire(TimePoint Now);

  // Excludes a server from selection until the given time, or until it
  // registers another stage. Used for servers that change their stage or that
  // refuse requests for which they reserved memory.
  void exclude(const std::string &Id, TimePoint Until);
  // A server didn't execute a prefill or grant a reservation in the stage that
  // it is registered with. `Misdirected`: it stated that it isn't in that
  // stage, or isn't the server of the entry, so it is excluded. Otherwise it
  // may be changing its stage, and becomes a last resort for a short time.
  //
  // Answers the load after a restart of all instances, which forget their
  // orders while the entries still show the stages before them.
  void onStageRefused(const std::string &Id, bool Misdirected, TimePoint Now);

  // The server wants no request of this instance for some time, which it has
  // said in a refusal. At most MaxRest; the end is spread by a random part, so
  // that not all instances return at once.
  void rest(const ServerProcess &Process, Milliseconds Time, TimePoint Now);
  // When the first server of a query takes requests again, if all of them rest.
  std::optional<TimePoint> restingUntil(const ServerQuery &Query,
                                        TimePoint Now) const;

  const ServerEntry *find(const std::string &Id) const;
  // How long ago at most the entry of the server's process was written; 0 if
  // there is no entry.
  Milliseconds maxEntryAge(const std::string &Id, TimePoint Now) const;
  // Other servers whose entries name this server's address, but for those whose
  // claim was disproved.
  std::vector<ServerEntry> sharingAddress(const ServerEntry &Entry) const;
  std::vector<ServerEntry> entries() const;
  // Number of registered servers of a service in a stage, without those that
  // are leaving.
  uint32_t count(const std::string &Service, ServerStage Stage) const;
  // Whether a server of the service in the stage is known that doesn't leave,
  // also if it gets no new requests for some time.
  bool hasServer(const std::string &Service, ServerStage Stage,
                 TimePoint Now) const;

  // Whether a new request may be sent to the server, which must be the process
  // that was chosen.
  bool usable(const ServerChoice &Server, TimePoint Now) const;

  // Returns the best server, if any. Failing servers are avoided and probed
  // with few requests. If the paces or knees of servers differ, see
  // chooseByPace().
  std::optional<ServerChoice> choose(const ServerQuery &Query, TimePoint Now);
  // Returns all usable servers, best first; those above their knee after the
  // others of their class if knees differ.
  std::vector<ServerChoice> rank(const ServerQuery &Query, TimePoint Now);

  // All servers of the query's service and stage, also those that get no new
  // requests, in no order.
  std::vector<ServerCandidate> candidates(const ServerQuery &Query,
                                          TimePoint Now) const;

  // The prefill servers of a service for their division into shards: those
  // registered that don't leave. None if dispatch is switched off.
  DispatchServers dispatchServers(const std::string &Service,
                                  TimePoint Now) const;
  // The server if it is this process and choose() may return it for the query.
  std::optional<ServerChoice> chosen(const ServerQuery &Query,
                                     const std::string &Id, int64_t StartedAt,
                                     TimePoint Now) const;

  // The servers of a query that look full. Failing ones neither count as full
  // nor as having room.
  struct Fullness {
    std::set<std::string> Full;
    bool All = false; // at least one is full, and no other has room
  };
  Fullness fullness(const ServerQuery &Query, TimePoint Now) const;

  // The same, slowest first by pace. For servers that leave the prefill stage:
  // the first event of a stream waits for its prefill, while a slow decode
  // server is still fast enough for the events after it.
  std::vector<ServerChoice> rankSlowestFirst(const ServerQuery &Query,
                                             TimePoint Now);

  // `Weight` is the load that the call adds: 1 for a plain request, the number
  // of tokens for a call to a model.
  void callStarted(const std::string &Id, double Weight);
  void callEnded(const std::string &Id, double Weight, CallResult Result,
                 TimePoint Now);
  void onLoadReport(const std::string &Id, const ServerLoad &Load,
                    TimePoint Now);

  // Paces of servers; see PaceTable. A call to a known process took this long
  // for this much work; its load report, if any, was recorded before.
  void onCallTimed(const ServerChoice &Server, double Work, Milliseconds Taken,
                   TimePoint Now);
  void onReportedSlowdown(const ServerProcess &Process, double Factor,
                          TimePoint Now);
  // Adds what a peer knows of a process that is registered here. Returns
  // whether it is new.
  bool mergePace(const PaceSummary &Item, TimePoint Now);
  std::vector<PaceSummary> pacesChangedSince(TimePoint Since, TimePoint Now,
                                             size_t MaxCount) const;
  void setPaceSettings(const PaceSettings &Value);
  // Expected duration of a call with this much work beside the load that is
  // known of the server; nothing if no pace is known.
  std::optional<Milliseconds>
  expectedDuration(const std::string &Id, double Work, TimePoint Now) const;
  // By service.
  const std::map<std::string, PaceTable> &paces() const { return Paces; }
  std::vector<PaceChange> takePaceChanges(TimePoint Now);

  // The load that the process of the server's entry handles well.
  ServerCapacity capacity(const std::string &Id, TimePoint Now) const;
  // By service.
  const std::map<std::string, KneeTable> &knees() const { return Knees; }
  std::vector<KneeChange> takeKneeChanges(TimePoint Now);

  struct Estimate {
    std::string Id;
    double OwnLoad = 0;
    double FailureRate = 0;
    bool Avoided = false;
    bool Leaving = false;
  };
  std::vector<Estimate> estimates(TimePoint Now) const;

private:
  // The server's entry names that address no more.
  void dropClaimsOf(const std::string &ClaimantId);

  struct Server {
    ServerEntry Entry;
    TimePoint WrittenAfter; // the entry of its process
    bool Leaving = false;   // whether `LeavingServers` has its process
    std::optional<TimePoint> UsableUntil; // set when the entry is removed
    std::string ClaimantId;               // of its address; empty: none
    std::set<std::string> DisprovedClaimants;
    double OwnLoad = 0;
    uint32_t OwnCalls = 0;
    std::optional<ServerLoad> Load;
    uint32_t OwnCallsAtLoad = 0;
    TimePoint LoadAt;
    ServerFullness Fullness;
    double FailureRate = 0; // moving average
    uint32_t ConsecutiveFailures = 0;
    TimePoint AvoidUntil;    // last resort until then
    TimePoint ExcludedUntil; // never selected until then
    TimePoint RestingUntil;  // wants no request until then
  };

  // Why a server gets no new request.
  enum class SendBar : uint8_t { None, Leaving, Removed, Resting, Excluded };
  // Whether this instance may send to the server now. All choices and the last
  // check before a send rest on it.
  SendBar sendBar(const Server &Item, TimePoint Now) const;
  static const char *nameOf(SendBar Bar); // empty for None

  // Weight of the server's latest load report, 0 if there is none; falls with
  // its age.
  static double reportWeight(const Server &Item, TimePoint Now);
  // Requests of other instances at the time of the report.
  static double othersAtReport(const Server &Item);
  // Requests at the server, those of this instance and what is known of others.
  double loadOf(const Server &Item, TimePoint Now) const;
  double score(const Server &Item, TimePoint Now) const;
  double placementPace(const Server &Item, TimePoint Now) const;
  // Whether the server is neither barred nor a last resort.
  bool isHealthy(const Server &Item, TimePoint Now) const;
  // Whether knees count for the choice among the servers of a stage.
  bool usesKnees(const ServerQuery &Query, TimePoint Now) const;
  // Mean number of other instances' requests at a server of a query, by the
  // reports that are recent.
  double meanOthers(const ServerQuery &Query, TimePoint Now) const;
  // Whether the server has more requests than it handles well. Near the knee
  // that is drawn, so that instances don't leave a server together.
  // `MeanOthers` stands for what isn't known of the server's load.
  bool drawAboveKnee(const Server &Item, double MeanOthers, TimePoint Now);
  // Selects among the healthy servers by pace; nothing if their paces are equal
  // or there are none.
  std::optional<ServerChoice> chooseByPace(const ServerQuery &Query,
                                           TimePoint Now);
  PaceTable &pacesOf(const std::string &Service);
  KneeTable &kneesOf(const std::string &Service);
  bool matches(const Server &Item, const ServerQuery &Query) const;

  std::string OwnDomain;
  std::mt19937_64 Random;
  std::map<std::string, Server> Servers;
  LeavingServers Leaving;
  std::map<std::string, PaceTable> Paces; // by service
  std::map<std::string, KneeTable> Knees; // by service
  PaceSettings PaceValues;
};

} // namespace crocusspur::gateway

#endif
