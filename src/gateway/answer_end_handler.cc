// Part of RequestHandler that tells whether an answer that ended with its
// connection is whole.
#include "gateway/request_handler.h"

#include <algorithm>

namespace crocusspur::gateway {
namespace {

using Clock = std::chrono::steady_clock;
using internal::log;
using internal::LogLevel;

// Servers report from memory, within milliseconds. All that the answer's end
// waits for is this.
constexpr Milliseconds SenderCheckTime{1000};
constexpr size_t MaxReportBytes = 65536;
constexpr uint32_t StatusOk = 200;

} // namespace

bool RequestHandler::mayBeCut(const ServerCall &Call,
                              const ServerChoice &Server) {
  if (Call.bodyForm() != internal::BodyForm::UntilClose)
    return false;
  TimePoint started = Clock::now();
  SenderEvidence evidence = askSender(Server);
  SenderState state = judgeSender(evidence);
  if (Context.Runs)
    ++Context.Runs->Senders[static_cast<size_t>(state)];
  internal::LogFields all = fields();
  all.emplace_back("server", Server.Id);
  all.emplace_back("sender", nameOf(state));
  all.emplace_back("status", std::to_string(evidence.Status));
  all.emplace_back("reported_started_at",
                   std::to_string(evidence.ReportedStart));
  all.emplace_back("server_started_at", std::to_string(evidence.KnownStart));
  all.emplace_back("taken_ms",
                   std::to_string(std::chrono::duration_cast<Milliseconds>(
                                      Clock::now() - started)
                                      .count()));
  bool isWhole = isWholeAfter(state);
  log(isWhole ? LogLevel::Info : LogLevel::Warn, "request",
      isWhole ? "the sender of an answer without a length lives"
              : "an answer without a length may have been cut",
      all);
  return !isWhole;
}

SenderEvidence RequestHandler::askSender(const ServerChoice &Server) {
  SenderEvidence evidence;
  evidence.KnownStart = Server.StartedAt;
  evidence.EntryChanged = Context.Directory.isReplaced(Server);
  if (evidence.EntryChanged)
    return evidence;
  TimePoint until = Clock::now() + std::min(SenderCheckTime, timeLeft());
  auto left = [&] {
    return std::max(Milliseconds(0),
                    std::chrono::ceil<Milliseconds>(until - Clock::now()));
  };
  CallPermit permit = Context.Limits.acquire(Server.Id, 1, left());
  if (permit.Granted) {
    if (permit.Delay > Milliseconds(0))
      Waiter.pause(permit.Delay);
    std::string body;
    evidence.Status = callServer(
        Context.Connections, Context.Codec, Context.Limits, Server,
        Context.Codec.FormatReport(Server), "GET", left(), MaxReportBytes, body,
        /*Permitted=*/true, /*NewConnection=*/true);
    std::optional<ServerReport> report;
    if (evidence.Status == StatusOk)
      report = Context.Codec.ParseReport(body);
    if (report)
      evidence.ReportedStart = report->StartedAt;
  }
  evidence.TimedOut = !permit.Granted || Clock::now() >= until;
  evidence.EntryChanged = Context.Directory.isReplaced(Server);
  return evidence;
}

} // namespace crocusspur::gateway
