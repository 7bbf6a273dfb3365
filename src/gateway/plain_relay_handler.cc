// Passing-on part of RequestHandler: long responses of plain services go to the
// caller as they come.
#include "gateway/memory_log.h"
#include "gateway/request_handler.h"

#include <algorithm>
#include <array>
#include <poll.h>
#include <utility>

namespace crocusspur::gateway {
namespace {

using Clock = std::chrono::steady_clock;

// So much is read of a response before more memory is asked for. The first is
// within what each call may use.
constexpr std::array<size_t, 3> KeptSteps{16384, 65536, MaxKeptBytes};
// A caller that accepts no data for this long counts as disconnected.
constexpr Milliseconds CallerStallTimeout{10000};
// Written at once, so that the deadline is noticed with a slow caller too.
constexpr size_t WriteBytes = 16384;

} // namespace

CallStatus RequestHandler::readHeld(ServerCall &Call, std::string &Body,
                                    bool &End, MemoryHold &Hold) {
  CallStatus status = CallStatus::Responded;
  for (size_t step : KeptSteps) {
    if (status != CallStatus::Responded || End)
      break;
    // A string that grows holds its bytes twice for a moment.
    if (step > KeptSteps[0] && !Hold.growTo(2 * step)) {
      logMemoryRefused(Context.Memory, MemoryUse::Response, Service);
      break;
    }
    status = Call.readUpTo(Body, End, step);
  }
  return status;
}

CallStatus RequestHandler::readKept(ServerCall &Call, bool LastTry,
                                    std::string &Body, bool &End,
                                    MemoryHold &Hold) {
  const ResponseInfo &info = Call.info();
  if (info.NotExecuted || !info.Signed || info.Encoded) {
    End = true;
    return Call.discardBody(MaxDiscardedBytes);
  }
  CallStatus status = readHeld(Call, Body, End, Hold);
  // A failure that a retry may replace isn't passed on before it is decided.
  if (status == CallStatus::Responded && !End && !LastTry &&
      isServerError(Call.head().Status))
    return CallStatus::ConnectionBroken;
  return status;
}

bool RequestHandler::writePart(std::string_view Part) {
  int caller = Sink.watchedSocket();
  while (!Part.empty()) {
    internal::WaitResult result =
        caller < 0
            ? internal::WaitResult::Ready
            : Waiter.wait(caller, POLLOUT, Clock::now() + CallerStallTimeout);
    CallerWriteFailed = result == internal::WaitResult::TimedOut;
    if (result != internal::WaitResult::Ready)
      return false;
    std::string_view now = Part.substr(0, WriteBytes);
    Part.remove_prefix(now.size());
    CallerWriteFailed = !Sink.write(now);
    if (CallerWriteFailed || (!Part.empty() && Waiter.pastDeadline()))
      return false;
  }
  return !CallerWriteFailed;
}

CallStatus RequestHandler::passOn(ServerCall &Call, const ServerChoice &Server,
                                  RunTracker::Id Run, std::string &Part,
                                  MemoryHold &Hold, Milliseconds &CallerTime) {
  internal::ResponseHead head = responseHead(Call, Server);
  head.HasLength = Call.bodyForm() == internal::BodyForm::Length;
  head.Length = Call.bodyLength();
  TimePoint begun = Clock::now();
  FirstOutput = begun;
  Status = head.Status;
  HeadSent = true;
  CallerWriteFailed = !Sink.begin(head);
  Clock::duration waited{0};
  bool end = false;
  CallStatus status = CallStatus::Responded;
  while (true) {
    TimePoint before = Clock::now();
    bool written = writePart(Part);
    TimePoint now = Clock::now();
    waited += now - before;
    // A wait for a server that always has more doesn't end at the deadline.
    if (!written || (!end && Waiter.pastDeadline()))
      status = CallerWriteFailed || Waiter.callerLeft()
                   ? CallStatus::CallerLeft
                   : CallStatus::DeadlineExceeded;
    if (end || status != CallStatus::Responded)
      break;
    if (now >= begun + AnswerSurvivalTime)
      onAnswerSurvived(Run, begun);
    // Frees the buffer of what was kept.
    if (Part.capacity() > 2 * WriteBytes)
      Part = std::string();
    Hold.reset();
    Part.clear();
    status = Call.readSome(Part, end, TransferTimeout);
    if (status != CallStatus::Responded)
      break;
  }
  CallerTime = std::chrono::duration_cast<Milliseconds>(waited);
  if (status == CallStatus::Responded)
    status = confirmEnd(Call, Server, /*MayRunElsewhere=*/false);
  if (status == CallStatus::Responded && !Sink.end(true)) {
    CallerWriteFailed = true;
    status = CallStatus::CallerLeft;
  }
  return status;
}

void RequestHandler::cutResponse(CallStatus Status) {
  Sink.end(false);
  if (CallerWriteFailed || hasNoCaller())
    finish("caller_left", "the caller closed its connection");
  else
    finish("broken", Status == CallStatus::DeadlineExceeded
                         ? "the answer was not complete in time"
                         : "the answer broke off");
}

} // namespace crocusspur::gateway
