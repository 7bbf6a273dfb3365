// State of the requests of one entry, used only by the files that implement
// EntryRequests.
#ifndef CROCUSSPUR_ENTRY_STATE_H
#define CROCUSSPUR_ENTRY_STATE_H

#include "entry_requests.h"
#include "retry_budget.h"

#include <map>
#include <set>
#include <string>
#include <vector>

namespace crocusspur::internal {

// Maximum time between a Start action and the first byte that the relay sends.
// Placement decisions are older than that only after a stall.
inline constexpr Milliseconds DispatchWindow{500};
// Maximum number of placements of one request, including those that the retry
// budget doesn't count, such as after a grant for a server that has started to
// leave.
inline constexpr uint32_t MaxPlacements = 8;
// Retry-After if there is no better estimate; callers round up to seconds.
inline constexpr Milliseconds DefaultRetryAfter{1000};
// A request whose connection broke waits this long before it is placed again,
// so that one that crashes servers is detected before it reaches the next
// server: a crash shows in the next load report, 250 ms later at most, and is
// reported to the peers.
inline constexpr Milliseconds CrashReportWait{350};
// Retention of a cancelled request, for late reports of its relay.
inline constexpr Milliseconds CancelledRetention{10000};

enum class Phase : uint8_t {
  KeyWait,    // waits for responses of former homes of the key
  Forwarded,  // the home of the key serves it
  Waiting,    // waits for a prefill grant of the owner
  Prefilling, // a prefill was started
  Ready,      // has a prefill result; waits for a decode grant of the owner
  Decoding,   // a decode was started
  Calling,    // a service call was started
  Broken,     // an attempt broke; waits for a report of a server crash
  Answered,   // final response sent; the relay hasn't closed it yet
  Cancelled,  // the caller cancelled or left; kept for late reports
};

const char *toString(Phase At);

struct OpenRequest {
  RequestId Id;
  RequestSpec Spec;
  std::string ForwardedBy;
  TimePoint ArrivedAt;
  TimePoint Deadline; // of the first output
  TimePoint PhaseSince;
  TimePoint ResumeBy = TimePoint::max(); // deadline to resume a broken stream
  Phase CurrentPhase = Phase::Waiting;
  RequestClass Class = RequestClass::Normal;
  bool MayWait = false;
  bool RunAlone = false;
  bool KeyExecuting = false; // admitted by KeyHome with Execute

  std::string Home; // of a forwarded request
  std::string Shard;
  std::string Owner;
  bool AtOwner = false; // the owner may have a record of the request
  bool RefusedByOwner = false;
  uint32_t Placement = 0; // attempt number in messages with the owner
  uint32_t Placements = 0;
  bool IsRetry = false;
  TimePoint ResendAt = TimePoint::max();

  std::string PrefillServer;
  std::string Server; // that decodes or serves the call
  uint64_t Fence = 0;
  uint64_t KvBytes = 0;
  uint32_t Dispatch = 0;         // number of the latest Start action
  uint32_t ReportedDispatch = 0; // owner was sent the end of its local prefill
  bool InFlight = false;         // it hasn't been reported as finished
  bool StartPending = false;     // dispatch is held; see holdDispatch()
  Stage BrokenAt = Stage::Prefill;
  std::string LostOn;               // server of the last attempt that broke
  std::vector<std::string> Holders; // servers that may hold work or memory
  std::vector<std::string> TriedServers; // service: servers already called

  bool MayHaveRun = false;  // some attempt was executed or may have been
  bool ResultReady = false; // an unused prefill result exists
  bool ResultUsed = false;  // a decode server imported it
  uint32_t OutputTokens = 0;
};

// State of a service server, known from this entry's own calls only.
struct ServiceServer {
  uint32_t Outstanding = 0;
  uint64_t LastUse = 0;   // tie-breaker between equal numbers of calls
  TimePoint AvoidUntil{}; // until then used only if no other is left
};

struct EntryRequests::State {
  State(KeyHome &Keys, CrashTracker &Crashes, OwnerLookup Owner);

  // entry_requests.cc: arrival
  void arrive(CoreContext &Context, OpenRequest &Request);
  bool checkArrival(CoreContext &Context, OpenRequest &Request,
                    ErrorKind &Error);
  void applyKeyDecision(CoreContext &Context, OpenRequest &Request,
                        const KeyDecision &Decision);
  void execute(CoreContext &Context, OpenRequest &Request);
  void reject(CoreContext &Context, OpenRequest &Request, ErrorKind Error,
              Milliseconds RetryAfter = Milliseconds{0});
  OpenRequest *find(const RequestId &Id);
  void setPhase(CoreContext &Context, OpenRequest &Request, Phase At);

  // entry_placement.cc: messages to and from the owner of a shard
  void place(CoreContext &Context, OpenRequest &Request);
  void acquire(CoreContext &Context, OpenRequest &Request);
  void askForDecode(CoreContext &Context, OpenRequest &Request);
  void resendToOwner(CoreContext &Context, OpenRequest &Request);
  std::string chooseShard(CoreContext &Context, const OpenRequest &Request);
  void reportPrefillLost(CoreContext &Context, OpenRequest &Request,
                         bool ServerFull);
  void reportDecodeLost(CoreContext &Context, OpenRequest &Request,
                        bool ServerFull);
  bool tryConsumeRetry(CoreContext &Context, OpenRequest &Request);
  void rejectGrant(CoreContext &Context, const std::string &From,
                   const RequestId &Id, const std::string &Shard,
                   uint32_t Attempt);
  void correctOwner(CoreContext &Context, OpenRequest &Request);
  void finishAtOwner(CoreContext &Context, OpenRequest &Request,
                     FinishReason Reason);
  void offerList(CoreContext &Context, const std::string &To);
  bool reacquireIfCleared(CoreContext &Context, OpenRequest &Request);
  void checkBroken(CoreContext &Context, OpenRequest &Request);
  void checkWaiting(CoreContext &Context, OpenRequest &Request);

  // entry_stages.cc: dispatch and outcome of one attempt
  bool prepareStart(CoreContext &Context, OpenRequest &Request,
                    TimePoint &NotAfter);
  void recordStart(CoreContext &Context, OpenRequest &Request,
                   const std::string &Server);
  void startPrefill(CoreContext &Context, OpenRequest &Request);
  void startDecode(CoreContext &Context, OpenRequest &Request);
  void startPending(CoreContext &Context, OpenRequest &Request);
  void stageFinished(CoreContext &Context, OpenRequest &Request,
                     const StageFinished &Body);
  bool isolateSuspect(CoreContext &Context, OpenRequest &Request);
  void onAttemptBroken(CoreContext &Context, OpenRequest &Request,
                       const StageFinished &Body);
  void retryBroken(CoreContext &Context, OpenRequest &Request);
  void prefillFinished(CoreContext &Context, OpenRequest &Request,
                       const StageFinished &Body);
  void decodeFinished(CoreContext &Context, OpenRequest &Request,
                      const StageFinished &Body);
  void decodeBroken(CoreContext &Context, OpenRequest &Request,
                    const StageFinished &Body);
  void forwardFinished(CoreContext &Context, OpenRequest &Request,
                       const StageFinished &Body);

  // entry_service.cc: plain services
  void startService(CoreContext &Context, OpenRequest &Request);
  std::string chooseServer(CoreContext &Context, const OpenRequest &Request);
  void serviceFinished(CoreContext &Context, OpenRequest &Request,
                       const StageFinished &Body);
  void releaseService(OpenRequest &Request);

  // entry_end.cc: final responses
  ExecutionState executionState(const OpenRequest &Request) const;
  void fail(CoreContext &Context, OpenRequest &Request, ErrorKind Error,
            Milliseconds RetryAfter = Milliseconds{0});
  void complete(CoreContext &Context, OpenRequest &Request,
                const StageFinished &Body);
  void cancel(CoreContext &Context, OpenRequest &Request);
  void cancelAt(CoreContext &Context, OpenRequest &Request,
                const std::string &Server);
  void release(CoreContext &Context, OpenRequest &Request, FinishReason Reason);
  void record(CoreContext &Context, const OpenRequest &Request,
              DecisionKind Kind, const std::string &Subject = "",
              ErrorKind Error = ErrorKind::Internal, double Value = 0);

  // entry_leases.cc: leases held from owners
  void moveToOwner(CoreContext &Context, OpenRequest &Request,
                   const std::string &Owner);
  void sendLeases(CoreContext &Context, const std::string &Owner,
                  const std::string &Shard);
  void reassertLeases(CoreContext &Context, const std::string &Owner,
                      const std::string &Shard);

  KeyHome &Keys;
  CrashTracker &Crashes;
  OwnerLookup Owner;
  // Ordered, so that equal events give equal actions.
  std::map<RequestId, OpenRequest> Requests;
  std::map<std::string, RetryBudget> Budgets;   // by group
  std::map<std::string, uint32_t> QueueLengths; // by shard, last reported
  std::set<std::string> OfferedTo; // owners that were sent the list
  uint64_t OfferedSequence = 0;
  std::map<std::string, ServiceServer> Services; // by server
  uint64_t ServiceUses = 0;
  bool Draining = false;
  bool DispatchHeld = false;
};

// Returns true while the request may still need its owner, servers or key.
inline bool isActive(const OpenRequest &Request) {
  return Request.CurrentPhase != Phase::Answered &&
         Request.CurrentPhase != Phase::Cancelled;
}

// Returns the error of a request whose last stage had this outcome.
ErrorKind errorOf(StageOutcome Outcome);

// Returns true if the group may use this server and it accepts new work.
bool isUsable(const CoreContext &Context, const std::string &Group,
              const std::string &Server);

} // namespace crocusspur::internal

#endif
