// Runs one request from its route to its answer, on the thread of the caller's
// connection: chooses servers, sends, repeats what may be repeated and passes
// the answer on.
#ifndef CROCUSSPUR_GATEWAY_REQUEST_RUN_H
#define CROCUSSPUR_GATEWAY_REQUEST_RUN_H

#include "gateway/event_splitter.h"
#include "gateway/gateway.h"
#include "http_sink.h"
#include "log.h"
#include "problem_document.h"

#include <optional>
#include <set>
#include <string>

namespace crocusspur::gateway {

class RequestRun {
public:
  // `Arrived`: when the head had been read. The sink's connection is watched,
  // and the run ends when the caller leaves.
  RequestRun(const GatewayParts &Parts, RouteDocumentPtr Document,
             const PathRoute &Route, CallerRequest Request,
             internal::HttpSink &Sink, TimePoint Arrived);

  void run();

private:
  // A place for the output of a request at a decode server.
  struct Place {
    ServerChoice Server;
    std::string Reservation; // empty: none
    TimePoint ReservedUntil;
  };
  // Memory of the request's prompt at a prefill server.
  struct PromptMemory {
    ServerChoice Server;
    std::string Handle;
  };
  // A server's own failure, kept while the request is repeated elsewhere.
  struct ServerFailure {
    internal::ResponseHead Head;
    std::string Body;
  };
  // What follows a call that hasn't given the caller its answer.
  enum class Next : uint8_t {
    Done,   // the caller has its answer, or has left
    NotRun, // no server has run the request
    Unknown // a server may have run it, or failed it
  };

  void runPlain();
  Next tryPlain(const ServerChoice &Server, bool LastTry);

  void runStream();
  // One round: a place, the prompt, the stream. `ReadAtDecode`: the decode
  // server reads the prompt itself.
  Next tryStream(bool ReadAtDecode);
  void endBrokenStream(const std::string &Why);
  std::optional<Place> takePlace();
  std::optional<Place> askForPlace(uint64_t Tokens);
  std::optional<Place> unreservedPlace();
  std::optional<PromptMemory> readPrompt();
  std::optional<PromptMemory> tryPrefill(const ServerChoice &Server);
  Next startStream(const Place &Where, const std::optional<PromptMemory> &From);
  Next relayStream(ServerCall &Call, const ServerChoice &Server);
  bool passEvents(EventSplitter &Events);
  void release(const Place &Where);
  void release(const PromptMemory &Memory);
  void sendRelease(const ServerChoice &Server, const std::string &Bytes);

  bool mayUse(const std::string &ServerId) const;
  bool mayRepeat();
  Milliseconds timeLeft() const;
  bool ended();
  RunOrder orderFor(const ServerChoice &Server) const;
  internal::ResponseHead headOf(const ServerCall &Call) const;
  // Answers that no server has run the request, and when to come back.
  void refuse(ErrorKind Kind, const std::string &Why, Milliseconds RetryAfter);
  // Answers without saying whether a server has run the request.
  void fail(ErrorKind Kind, const std::string &Why);
  void answerProblem(const internal::Problem &Item);
  void logCall(const char *Stage, const ServerChoice &Server,
               const std::string &Outcome, TimePoint Started) const;
  void finish(const std::string &Outcome, const std::string &Why);
  internal::LogFields fields() const;

  const GatewayParts &Parts;
  RouteDocumentPtr Document;
  const PathRoute &Route;
  CallerRequest Request;
  internal::HttpSink &Sink;
  TimePoint Arrived;
  TimePoint End; // the caller's deadline or the route's time limit
  CallerWaiter Waiter;
  std::string Service;
  const EngineTraits *Engine = nullptr;
  std::set<std::string> Tried; // servers that a repeat avoids
  std::set<std::string> Used;  // servers that were sent the request to run it
  uint32_t Status = 0;         // of the answer; 0: none was given
  bool Returning = false;      // the caller has been refused before
  bool PrefillSent = false;    // the last prefill call may have arrived
  bool BudgetSpent = false;    // no repeat is allowed any more
  bool MayHaveRun = false;     // some server may have run the request
  bool HeadPassed = false;     // the caller has the head of an answer
  std::optional<TimePoint> FirstOutput;
  std::optional<TimePoint> LastOutput; // of a stream
  Milliseconds LongestPause{0};        // between two outputs of a stream
  std::optional<ServerFailure> Failure;
  bool PassFailed = false; // the caller takes nothing any more
  std::string LastEventId; // of the last event passed on
  uint64_t EventsPassed = 0;
};

} // namespace crocusspur::gateway

#endif
