// Handles one request on the thread of the caller's connection: selects
// servers, sends the request, retries it where allowed and forwards the
// response.
#ifndef CROCUSSPUR_GATEWAY_REQUEST_HANDLER_H
#define CROCUSSPUR_GATEWAY_REQUEST_HANDLER_H

#include "gateway/decisions/streams/stream_progress.h"
#include "gateway/forward_codec.h"
#include "gateway/gateway_context.h"
#include "log.h"
#include "problem_document.h"
#include "response_sink.h"

#include <functional>
#include <optional>
#include <set>
#include <string>

namespace crocusspur::gateway {

class ForwardCall;

// So much of a response is kept while a retry may follow, or if it is only
// useful as a whole.
inline constexpr size_t MaxKeptBytes = 262144;
// Of a body that nobody needs, so that its connection can be used again.
inline constexpr size_t MaxDiscardedBytes = 16777216;

// A request that another instance has passed on, with hooks for what the
// response to that instance says besides.
struct ForwardedOrigin {
  ForwardedRequest Request; // without the caller's request itself
  // Called instead of sending a problem document.
  std::function<void(const internal::Problem &)> OnProblem;
  // Software version of the server of a stream, and the server if that instance
  // records the version; called before the head.
  std::function<void(VersionKey, std::optional<ServerProcess>)> OnOutputVersion;
  // Nobody may go on with the stream after the events that were passed on;
  // called before the first data for which that holds.
  std::function<void()> OnVersionUncertain;
  // The server of the response has said that it leaves; called before the head.
  std::function<void(const ServerProcess &)> OnServerLeaving;
};

class RequestHandler {
public:
  // `Arrived`: when the head was read. Watches the sink's connection and stops
  // when the caller disconnects. `Origin`: null if the caller sent the request
  // to this instance.
  RequestHandler(const GatewayContext &Context, RouteDocumentPtr Document,
                 const PathRoute &Route, CallerRequest Request,
                 internal::ResponseSink &Sink, TimePoint Arrived,
                 const ForwardedOrigin *Origin = nullptr);

  void run();

private:
  // Takes the request's tokens from its account's quota. Returns false if the
  // request was refused.
  bool admitByQuota();
  // Gives the tokens back, once: no server has run the request.
  void refundQuota();

  // A decode server selected for the request's output, with its reservation if
  // there is one.
  struct DecodeReservation {
    ServerChoice Server;
    std::string Reservation; // empty: none
    TimePoint ReservedUntil;
    // A permit for one more call, that of the run, has been acquired.
    bool Permitted = false;
  };
  // KV cache of the request's prompt at a prefill server.
  struct PromptKvCache {
    ServerChoice Server;
    std::string Handle;
    std::optional<WeightVersion> Weights;
  };
  // A server's error response, kept while the request is retried at another
  // server.
  struct ServerFailure {
    internal::ResponseHead Head;
    std::string Body;
    MemoryHold Hold; // for the body
  };
  // Result of one attempt to get a response from a server.
  enum class AttemptResult : uint8_t {
    Done,        // the caller has its response, or disconnected
    NotExecuted, // no server has executed the request
    Unknown      // a server may have executed or failed it
  };

  // A run whose stream is relayed.
  struct RelayedRun {
    RunTracker::Id Id;
    RunNumber Number = 0;
    bool End = false; // of the body
    // A process of another version is known in place of the run's.
    bool Replaced = false;
    bool ReplacedBySame = false; // a process of the same version
    TimePoint ProcessCheckedAt;  // the latest call of confirmRunVersion()
    CallStatus Status = CallStatus::Responded;
    bool OnKeptConnection = false;    // that was opened for an earlier call
    TimePoint OpenedAt;               // of its connection
    TimePoint SentAt;                 // when the request was sent
    TimePoint ProofSoughtAt;          // the latest call of seekProof()
    std::optional<TimePoint> BegunAt; // the first event
    // Start of the latest sample of the server's pace, and the events before.
    std::optional<TimePoint> SampledAt;
    uint64_t EventsBeforeSample = 0;
  };

  void runPlain();
  // Waits until a server may have room, while the response can still be on
  // time. Returns false if the request is to be refused.
  bool awaitRoom();
  // Decides on arrival whether the request is sent or waits.
  bool isPlainAdmitted();
  // Candidates for the next send of a plain request.
  ServerQuery plainQuery() const;
  // The same once it has to wait.
  bool waitForRoom();
  AttemptResult tryPlain(const ServerChoice &Server, bool LastTry);
  // Reads the body while a retry may follow: to its end, or so much that the
  // rest is passed on as it comes. A body that isn't needed is discarded.
  // Keeps less if memory is short; `Hold` holds it.
  CallStatus readKept(ServerCall &Call, bool LastTry, std::string &Body,
                      bool &End, MemoryHold &Hold);
  // Reads the body to its end, at most MaxKeptBytes and what `Hold` may grow
  // to.
  CallStatus readHeld(ServerCall &Call, std::string &Body, bool &End,
                      MemoryHold &Hold);
  MemoryHold makeHold(MemoryUse Use) const { return {Context.Memory, Use}; }
  // Passes the response on as it comes. `Part`: what was read of its body.
  // `CallerTime`: for how long the caller was waited for. Returns Responded if
  // the response is complete, otherwise how it ended.
  CallStatus passOn(ServerCall &Call, const ServerChoice &Server,
                    RunTracker::Id Run, std::string &Part, MemoryHold &Hold,
                    Milliseconds &CallerTime);
  // Sends the part to the caller. Returns false if it disconnected or the
  // deadline passed before.
  bool writePart(std::string_view Part);
  // Ends a response that was passed on in part, visibly incomplete.
  void cutResponse(CallStatus Status);
  // Whether another server or instance can get the request, which is then
  // charged as a retry.
  bool mayRetryPlainElsewhere();
  // Of an attempt that may be repeated, from what is expected at the server.
  Milliseconds attemptTimeout(const ServerChoice &Server) const;

  // Selects a server and acquires a permit for one call to it. If all servers
  // are at their request limits, waits for at most `MaxDelay` for the first one
  // that isn't.
  std::optional<ServerChoice>
  choosePermitted(ServerStage Stage, const std::set<std::string> &Excluded,
                  Milliseconds MaxDelay);
  std::optional<ServerChoice>
  waitForPermit(ServerStage Stage, const std::set<std::string> &Excluded,
                Milliseconds MaxDelay);
  // Selects the server of the request's prefill with a permit for it: the one
  // that the owner of its shard assigns, in the first attempt, or as above.
  std::optional<ServerChoice>
  choosePrefill(const std::set<std::string> &Excluded);
  // Acquires permits that are granted at once.
  bool tryAcquire(const std::string &ServerId, uint32_t Calls);
  // How long this request may wait for a permit.
  Milliseconds maxPermitDelay() const;
  // Keeps the denial by the server that takes a call first.
  void onPermitDenied(const std::string &ServerId, const CallPermit &Permit);
  // What a denied or delayed call was decided on.
  internal::LogFields permitFields(const std::string &ServerId,
                                   const CallPermit &Permit) const;

  void runStream();
  // Whether the caller takes up a stream that began in an earlier request.
  bool takesUpStream() const {
    return !Request.LastEventId.empty() || !Request.ResumedRequestId.empty();
  }
  // Finds the software version at which the stream goes on that the caller
  // takes up. May ask peers and the store. Returns false if it isn't known.
  bool resolveStreamVersion();
  // Whether the stream that is taken up may have begun at another process than
  // the recorded one.
  bool mayHaveBegunElsewhere(const ResumptionDecision &Decision);
  ServerChoice choiceOf(const ServerProcess &Process) const;
  // Whether it is shown by now that the stream that is taken up began at the
  // recorded process, which couldn't be when its run broke off.
  bool isOriginProven(const ResumptionDecision &Decision);
  // Whether a server is known that the stream may run at.
  bool hasOutputServer() const;
  // Whether the request may be sent to one of them.
  bool mayUseAnotherOutputServer() const;
  // The only software version at which the stream may run, if there is one.
  std::optional<VersionKey> requiredVersion() const {
    return Progress.version() ? Progress.version() : PinnedVersion;
  }
  // Whether the service has a server for the output that doesn't leave, though
  // it may get no requests at the moment.
  bool knowsOutputServer() const;
  void refuseResumption(const std::string &Why);
  // Called before events of a run are passed on, every ProcessCheckPeriod while
  // it is silent, and when it has broken off: notes whether another process is
  // known by now in place of the one that the run was sent to. Returns false if
  // the run was given up for it.
  bool confirmRunVersion(const ServerChoice &Server, RelayedRun &Run);
  // Finds out whether the process at the other end of the connection that the
  // call will use is the chosen one: a successor serves before its entry is
  // known, and its software version isn't known either. `IsRequired`: something
  // depends on it, so that it is asked also if that takes a part of the
  // server's limit or it hasn't answered lately.
  ProcessCheck identify(ServerCall &Call, const ServerChoice &Server,
                        bool IsRequired);
  // Asks the process that accepts connections at the server's address.
  ProcessCheck checkProcess(const ServerChoice &Server);
  // Whether a run that is to begin depends on what its process says.
  bool mustIdentify() const;
  // Whether the entries that are known of the server are those that the store
  // has now. The store is asked if nothing but the entry tells which process it
  // is (`Check` is Unknown): that it has fallen silent is noticed late.
  bool areEntriesCurrent(ProcessCheck Check, const ServerChoice &Server) const;
  // Whether a run that goes on with a stream may be at the server, as its
  // process was found to be.
  bool isChosenProcess(ProcessCheck Check, const ServerChoice &Server) const;
  // The server of the stream's first run may be known to be replaced only after
  // the run has ended; then nothing follows.
  void confirmFirstRun();
  void logNothingFollows(const ServerChoice &Server, const RelayedRun &Run,
                         ProcessCheck Check, bool EntriesRead) const;
  // While entries may be old, asks the process of the stream's first run which
  // one it is: once it has ended, nothing can show that any more.
  void seekProof(const ServerChoice &Server, RelayedRun &Run);
  // The run is at the process that the server's entry named.
  void onRunProven(RunNumber Run);
  // The first run has broken off: decides whether anything may follow.
  void judgeFirstRun(const ServerChoice &Server, RelayedRun &Run);
  // Tells other instances that nobody may go on with the stream, or only if its
  // process is shown.
  void recordUncertainty();
  // Called before an answer ends that isn't the whole stream, since its caller
  // may take the stream up at any instance then. Waits until the keepers of an
  // uncertain stream know that nobody may go on, for a bounded time.
  void awaitUncertaintyRecorded();
  StreamKey streamKey() const;
  // Called before a run at the server. Records for other instances that it may
  // begin the stream, or goes on with it. The first run of a request that
  // another instance has passed on leaves no record: that instance may run the
  // request elsewhere, at another version, if no event reaches it.
  // `Check`: what its process has said.
  void recordOrigin(const ServerChoice &Server, ProcessCheck Check);
  // Called before events are sent to the caller. Records the version of the
  // first one unless it is recorded.
  void recordBegin();
  void recordVersion(VersionKey Version);
  // One round: reservation, prefill and stream. `ReadAtDecode`: the decode
  // server reads the prompt itself.
  AttemptResult tryStream(bool ReadAtDecode);
  void abortStream(const std::string &Why);
  // Waits for the given time, or until the wait has no purpose any more, and
  // returns whether to wait on.
  using WaitHook = std::function<bool(Milliseconds)>;
  // `Wait`: called between the attempts.
  std::optional<DecodeReservation> reserveDecode(const WaitHook &Wait);
  // Decides on arrival whether the request waits for a reservation.
  bool isAdmitted(const QueueEntry &Entry);
  std::optional<DecodeReservation> tryReserveDecode(uint64_t Tokens);
  std::optional<DecodeReservation> selectUnreservedDecode();
  std::optional<PromptKvCache> runPrefill();
  std::optional<PromptKvCache> tryPrefill(const ServerChoice &Server);
  // From the duration that is expected at the server, at most the time left.
  Milliseconds prefillTimeout(const ServerChoice &Server) const;
  // `Call`: the run's. `Recorded`: what its process had said when the origin
  // was recorded.
  AttemptResult startStream(ServerCall &Call, ProcessCheck Recorded,
                            const DecodeReservation &Target,
                            const std::optional<PromptKvCache> &Cache);
  struct RunIdentity {
    bool IsKnown = false; // whether the entry's version is the process's
    ProcessCheck Check = ProcessCheck::Unknown; // what the process has said
    TimePoint SentAt;                           // when the request was sent
  };
  AttemptResult relayStream(ServerCall &Call, const ServerChoice &Server,
                            RunTracker::Id Run, RunIdentity Identity);
  // Whether the process of the current run, as found by checkProcess(), can't
  // be told from one that has started since, so that nothing may follow the
  // run.
  bool isRunUncertain(ProcessCheck Check) const;
  // The same for a silent run, whose server is asked if that matters.
  bool mayNotBeFollowed(const ServerChoice &Server);
  // Reads until events were forwarded or the run has ended. Sets the status to
  // TimedOut if neither happens before `Until`.
  void readEvents(ServerCall &Call, const ServerChoice &Server, RelayedRun &Run,
                  TimePoint Until);
  void onEventsForwarded(const ServerChoice &Server, RelayedRun &Run);
  // How long a run may be silent before another server is sought.
  Milliseconds stallTimeout() const;
  // The longest gap after which a caller of a stream still waits.
  Milliseconds callerPatience() const;
  // Waits for a silent run, whose server may be sound, and seeks another server
  // for its stream. `Wait` waits for the run and returns whether it's still
  // silent. Returns once it isn't, or is to be given up: there is a reservation
  // at another server, an instance that may take the request, or no caller that
  // waits any longer.
  void awaitSilentRun(const ServerChoice &Server, const WaitHook &Wait);
  // One attempt to reserve memory at another server; keeps the reservation in
  // `Takeover`. Returns whether there is one and the run is still silent.
  bool reserveElsewhere(const ServerChoice &Server, const WaitHook &Wait);
  void dropTakeover();
  // `Source`: the server or the instance that sent the stream.
  void logRunEnded(const std::string &Source,
                   const std::string &LastIdBefore) const;
  void countGivenUp(RunFault Fault) const;
  void logEndInsideEvent(const std::string &Source) const;
  // Passes the whole events among the bytes of the run on. `Source`: the server
  // or the instance that sent them. Returns false if the run was given up:
  // nothing more of it is passed on.
  bool forwardEvents(RunNumber Run, std::string_view Bytes,
                     const std::string &Source);
  // Whether the response is a stream of events like the one that the caller
  // gets. Anything else with status 200 is no run of the stream.
  bool continuesStream(const std::string *ContentType);

  // Whether the request is passed on to another instance, since this one
  // reaches no server of its service.
  bool shouldForward() const;
  // Passes the request on. Returns NotExecuted if no instance took it.
  AttemptResult forward();
  AttemptResult forwardTo(const Member &Peer);
  AttemptResult relayForwarded(ForwardCall &Call, const std::string &PeerName,
                               ForwardResponse First, Milliseconds SilenceTime);
  AttemptResult relayForwardedStream(ForwardCall &Call,
                                     const std::string &PeerName,
                                     const ForwardResponse::Head &Head,
                                     ForwardResponse First,
                                     Milliseconds SilenceTime);
  // Passes a response that another instance passes on to the caller as it
  // comes. `Part`: what was read of its body.
  AttemptResult passOnForwarded(ForwardCall &Call,
                                const internal::ResponseHead &Head,
                                std::string Part, MemoryHold Hold,
                                Milliseconds SilenceTime);
  // Reads the next frame. Finishes the request and returns CallerLeft if its
  // caller has left.
  CallStatus readForwarded(ForwardCall &Call, ForwardResponse &Frame,
                           Milliseconds SilenceTime);
  // Answers with the problem that another instance had with the request.
  void returnProblem(internal::Problem Item);
  void countHungConnect(const ServerCall &Call);
  // Whether another server accepts a connection, or none is known. Otherwise
  // this instance may be cut off from all of them.
  bool reachesAnotherServer(const ServerChoice &Server);
  void release(const DecodeReservation &Target);
  void release(const PromptKvCache &Cache);
  void sendRelease(const ServerChoice &Server, const std::string &Bytes,
                   bool Permitted);

  // Candidates for the request's output, other than those tried.
  ServerQuery outputQuery(ServerStage Stage) const;
  bool mayUse(const std::string &ServerId) const;
  bool tryConsumeRetry();
  // Tracks a call to a server as a run of this request's content. `Answers`:
  // the server is to answer the request, not only to read its prompt.
  RunTracker::Id trackRun(const ServerChoice &Server, bool Answers);
  // The answer of the run went on after it had begun, or completed.
  void onAnswerSurvived(RunTracker::Id Run, TimePoint BegunAt);
  // `Status`: of the call. `End`: what its response shows; used if there is
  // one.
  void endRun(RunTracker::Id Run, const ServerChoice &Server, CallStatus Status,
              RunEnd End);
  // Returns Responded if the response, which was read to its end, is whole. One
  // that ended with its connection may be a part: the call waits until its
  // sender is shown to live, for as long as the request has time.
  // `MayRunElsewhere`: some of that time is left for another run.
  CallStatus confirmEnd(const ServerCall &Call, const ServerChoice &Server,
                        bool MayRunElsewhere);
  // The same for a plain response that is kept whole. If too much is kept so
  // for its service, sets `Whole` to false: it is then passed on before its end
  // is confirmed.
  CallStatus confirmKept(const ServerCall &Call, const ServerChoice &Server,
                         bool LastTry, const std::string &Body, bool &Whole,
                         MemoryHold &Hold);
  Milliseconds timeLeft() const; // for this request, also by its route
  // Until the deadline that the caller has stated, if any. The caller can come
  // back until then, also when the route's time is over.
  std::optional<Milliseconds> callerTimeLeft() const;
  // Whether nothing may be sent to servers any more.
  bool shouldStop();
  // Whether there is nobody left to answer. A caller whose request is ended by
  // this instance's exit is there.
  bool hasNoCaller();
  // Whether the last run, which ended with its server, is likely its cause, so
  // that it isn't sent to another server.
  bool mayEndNextServer();
  // Where this request is among the ranks of its service. A stream that goes on
  // elsewhere after its server broke is among the most urgent ones.
  RankPosition position() const;
  ForwardOptions optionsFor(const ServerChoice &Server) const;
  // Also tells the instance that passed the request on if the server leaves.
  internal::ResponseHead responseHead(const ServerCall &Call,
                                      const ServerChoice &Server) const;
  // Sends a response that states that no server has executed the request, with
  // the time after which to retry.
  void refuse(ErrorKind Kind, const std::string &Why, Milliseconds RetryAfter);
  // The same for a request that crashes servers.
  void refuseAsCrashing();
  // The same for a request whose key isn't valid any more.
  void refuseAccess();
  // Whether the request may still be sent, by the configuration in force now.
  bool hasAccess();
  // By its account and its route.
  RequestRank rank() const;
  // The same if all servers are at their request limits or rest.
  void refuseForLimits();
  // If all servers of the query rest, notes until when, as for limits.
  void noteResting(const ServerQuery &Query);
  // Sends a response that doesn't state whether a server has executed the
  // request.
  void fail(ErrorKind Kind, const std::string &Why);
  void sendProblem(const internal::Problem &Item);
  void logCall(const char *Stage, const ServerChoice &Server,
               const ServerCall &Call, const std::string &Outcome,
               TimePoint Started);
  void finish(const std::string &Outcome, const std::string &Why);
  internal::LogFields fields() const;
  void addPromptParts(internal::LogFields &Fields) const;

  const GatewayContext &Context;
  RouteDocumentPtr Document;
  const PathRoute &Route;
  CallerRequest Request;
  const uint64_t Content; // see fingerprintOf()
  internal::ResponseSink &Sink;
  const ForwardedOrigin *const Origin;
  TimePoint Arrived;
  TimePoint Deadline; // the caller's deadline or the route's timeout
  CallerWaiter Waiter;
  std::string Service;
  // How long before the arrival the store had what this instance knew then.
  std::optional<Milliseconds> ConfirmedAgo;
  const EngineTraits *Engine = nullptr;
  std::set<std::string> Tried;    // servers that retries avoid
  std::set<std::string> Used;     // servers sent the request, except prefills
  uint32_t Status = 0;            // of the response; 0: none sent
  bool Returning = false;         // the caller was refused before
  uint32_t Sends = 0;             // calls that may have reached a server
  int HungConnects = 0;           // connections to servers that hung
  bool ForwardingRefused = false; // no instance took the request
  bool DispatchTried = false;     // an owner was asked for a prefill server
  DispatchedPrefill Placement;    // of the last prefill call
  bool PrefillSent = false;       // the last prefill call may have arrived
  bool PrefillAccepted = false;   // by a server, in any round
  bool RetryBudgetExhausted = false; // no further retry is allowed
  bool RetryCharged = false;         // the next plain attempt is paid for
  // Set once the request is refused since it crashes servers: for how long, and
  // what of it.
  std::optional<Milliseconds> CrashRefusedFor;
  const char *CrashRefusalReason = "";
  // Set once the key isn't valid any more.
  std::optional<AccessVerdict> AccessRefused;
  bool AnswerSurvived = false; // see onAnswerSurvived(); of the last run
  // The server of the last run ended with it, soon after it began to answer.
  bool EndedWithServer = false;
  bool AllRest = false; // what `LimitedUntil` is about: rests, not limits
  // Set while all servers that were asked are at their request limits: the
  // earliest time at which one of them takes a call, and the log fields of its
  // denial.
  std::optional<TimePoint> LimitedUntil;
  internal::LogFields LimitedFields;
  bool RefusedByFull = false; // a full server refused it; the next is a retry
  bool FoundFull = false;     // all servers looked full, or a full one refused
  bool Rejected = false;      // on arrival; see isAdmitted()
  bool MayHaveExecuted = false; // a server may have executed the request
  bool HeadSent = false;        // a response head was sent to the caller
  // A reservation for the next run of the stream, charged as a retry.
  std::optional<DecodeReservation> Takeover;
  bool LeavesSilentRun = false; // while a reservation for that is sought
  // The last run was refused by a server with other weights.
  bool RefusedForWeights = false;
  std::optional<TimePoint> FirstOutput;
  std::optional<TimePoint> LastOutput; // of a stream
  Milliseconds LongestPause{0};        // between two writes of a stream
  // Of the last confirmEnd(), in which the server had answered already.
  TimePoint::duration ProofTime{0};
  std::optional<ServerFailure> Failure;
  // How its account's quota admitted the request; Admitted is false if it took
  // no tokens, or gave them back.
  QuotaDecision Quota;
  uint64_t QuotaTokens = 0;
  bool CallerWriteFailed = false; // the caller disconnected or stalled
  StreamProgress Progress;
  MemoryHold EventHold; // for the part of an event that has arrived
  // The version that other instances were told the stream may begin at, by a
  // record or with the head of the response. Some of them may miss a second
  // one, so runs without an event don't change it.
  std::optional<VersionKey> PinnedVersion;
  // Whether this instance records the version of the current run. The one that
  // has the caller does: others don't know which events reach the caller.
  bool RecordsBegin = true;
  bool VersionRecorded = false;
  // What was recorded of a stream whose version isn't certain.
  enum class Uncertainty : uint8_t { None, Unproven, Final };
  Uncertainty UncertaintyRecorded = Uncertainty::None;
  // The process of a first run that nothing has shown, or disproved.
  struct UnprovenRun {
    ServerProcess Process;
    TimePoint SentAt;
  };
  std::optional<UnprovenRun> Unproven;
  RecordDeliveryPtr UncertaintyDelivery; // null: nothing is waited for
  // The server of a first run that has broken off, unless it was confirmed.
  std::optional<ServerChoice> FirstRunServer;
  // The process that began the stream, as its entry named it; without an id if
  // there is none or it is certain.
  ServerProcess BegunAtServer;
};

} // namespace crocusspur::gateway

#endif
