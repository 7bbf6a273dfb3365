// Part of RequestHandler that tells whether an answer that ended with its
// connection is whole.
#include "gateway/request_handler.h"
#include "gateway/sender_inquiry.h"

namespace crocusspur::gateway {
namespace {

using Clock = std::chrono::steady_clock;
using internal::log;
using internal::LogLevel;

} // namespace

CallStatus RequestHandler::confirmEnd(const ServerCall &Call,
                                      const ServerChoice &Server,
                                      bool MayRunElsewhere) {
  ProofTime = Clock::duration(0);
  if (Call.bodyForm() != internal::BodyForm::UntilClose)
    return CallStatus::Responded;
  TimePoint started = Clock::now();
  // The server has no more to do for the request, so it isn't load meanwhile.
  Context.Directory.callEnded(Server, 1, CallResult::Abandoned);
  SenderInquiry inquiry(Context, Waiter, Server,
                        started + proofTime(timeLeft(), MayRunElsewhere));
  SenderState state = inquiry.run();
  Context.Directory.callStarted(Server, 1);
  ProofTime = Clock::now() - started;
  const SenderEvidence &evidence = inquiry.evidence();
  if (Context.Runs)
    ++Context.Runs->Senders[static_cast<size_t>(state)];
  internal::LogFields all = fields();
  all.emplace_back("server", Server.Id);
  all.emplace_back("sender", nameOf(state));
  all.emplace_back("status", std::to_string(evidence.Status));
  all.emplace_back("unanswered", std::to_string(evidence.Unanswered));
  all.emplace_back("reported_started_at",
                   std::to_string(evidence.ReportedStart));
  all.emplace_back("server_started_at", std::to_string(evidence.KnownStart));
  all.emplace_back(
      "taken_ms",
      std::to_string(
          std::chrono::duration_cast<Milliseconds>(ProofTime).count()));
  bool isWhole = isWholeAfter(state);
  log(isWhole ? LogLevel::Info : LogLevel::Warn, "request",
      isWhole ? "the sender of an answer without a length lives"
              : "an answer without a length may have been cut",
      all);
  if (isWhole)
    return CallStatus::Responded;
  return Waiter.callerLeft() ? CallStatus::CallerLeft
                             : CallStatus::ConnectionBroken;
}

CallStatus RequestHandler::confirmKept(const ServerCall &Call,
                                       const ServerChoice &Server, bool LastTry,
                                       const std::string &Body, bool &Whole,
                                       MemoryHold &Hold) {
  if (Call.bodyForm() != internal::BodyForm::UntilClose)
    return CallStatus::Responded;
  // Counted while it waits, also what each call may keep without.
  Hold.growAlwaysTo(Body.capacity());
  size_t bytes = Hold.size();
  bool limited = Context.Memory && Context.Waiting;
  if (limited &&
      !Context.Waiting->tryAdd(Service, bytes, Context.Memory->limit())) {
    // A failure that a retry may replace isn't passed on.
    Whole = isServerError(Call.head().Status) && !LastTry;
    return Whole ? CallStatus::ConnectionBroken : CallStatus::Responded;
  }
  CallStatus status = confirmEnd(Call, Server, /*MayRunElsewhere=*/!LastTry);
  if (limited)
    Context.Waiting->remove(Service, bytes);
  return status;
}

} // namespace crocusspur::gateway
