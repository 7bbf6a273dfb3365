#include "gateway/sender_inquiry.h"

#include <algorithm>
#include <utility>

namespace crocusspur::gateway {
namespace {

using Clock = std::chrono::steady_clock;

// One is asked first. If it closes without a response, the other one still
// leads to the same process, also if the server states no start.
constexpr size_t ConnectionsAtEnd = 2;
// Silence of this length is evidence about the way to the server.
constexpr Milliseconds SilenceTime{1000};
// The server's entry is looked up this often while it is waited for.
constexpr Milliseconds CheckPeriod{100};
// Without a permit by the end, a limit that has changed is asked for again.
constexpr Milliseconds PermitPause{500};
constexpr size_t MaxReportBytes = 65536;
constexpr uint32_t StatusOk = 200;

} // namespace

SenderInquiry::SenderInquiry(const GatewayContext &Context,
                             CallerWaiter &Waiter, const ServerChoice &Server,
                             TimePoint Until)
    : Context(Context), Waiter(Waiter), Server(Server), Until(Until) {
  Evidence.KnownStart = Server.StartedAt;
  while (OpenedAtEnd.size() < ConnectionsAtEnd) {
    CallPtr call = open();
    if (!call)
      break;
    OpenedAtEnd.push_back(std::move(call));
  }
  Evidence.LeftAtEnd = static_cast<uint32_t>(OpenedAtEnd.size());
}

SenderInquiry::~SenderInquiry() {
  for (const CallPtr &it : OpenedAtEnd)
    it->keepUnused();
}

Milliseconds SenderInquiry::left() const {
  return std::max(Milliseconds(0),
                  std::chrono::ceil<Milliseconds>(Until - Clock::now()));
}

SenderInquiry::CallPtr SenderInquiry::open() {
  auto call = std::make_unique<ServerCall>(Context.Connections, Context.Codec,
                                           Context.Limits, Waiter);
  if (call->open(Server) == CallStatus::Responded)
    return call;
  Evidence.Refused =
      call->connectFailure() == internal::ConnectFailure::Refused;
  return nullptr;
}

SenderDecision SenderInquiry::decide() {
  TimePoint now = Clock::now();
  Evidence.EntryChanged = Context.Directory.isReplaced(Server);
  if (Context.Directory.processNow(Server.Id).Entry)
    EntryGoneAt.reset();
  else if (!EntryGoneAt)
    EntryGoneAt = now;
  Evidence.EntryGoneFor =
      EntryGoneAt ? std::chrono::duration_cast<Milliseconds>(now - *EntryGoneAt)
                  : Milliseconds(0);
  Evidence.TimedOut =
      now >= Until || Waiter.callerLeft() || Waiter.pastDeadline();
  return decideOnSender(Evidence);
}

bool SenderInquiry::pause(Milliseconds Time) {
  TimePoint end = Clock::now() + Time;
  while (decide().Step == SenderStep::Ask) {
    TimePoint now = Clock::now();
    if (now >= end)
      return true;
    Waiter.pause(std::min(
        {std::chrono::ceil<Milliseconds>(end - now), CheckPeriod, left()}));
  }
  return false;
}

bool SenderInquiry::awaitPermit() {
  while (decide().Step == SenderStep::Ask) {
    CallPermit permit = Context.Limits.acquire(Server.Id, 1, left());
    if (permit.Granted && pause(permit.Delay))
      return true;
    if (permit.Granted)
      Context.Limits.release(Server.Id, 1);
    else
      pause(PermitPause);
  }
  return false;
}

void SenderInquiry::read(ServerCall &Call) {
  CallStatus status = Call.start(Server, Context.Codec.FormatReport(Server),
                                 "GET", "", std::min(SilenceTime, left()),
                                 /*Permitted=*/true);
  while (status == CallStatus::TimedOut && decide().Step == SenderStep::Ask)
    status = Call.awaitHead(std::min(CheckPeriod, left()));
  std::string body;
  if (status == CallStatus::Responded)
    status = Call.readWhole(body, MaxReportBytes, left());
  if (status != CallStatus::Responded)
    return;
  Call.finish();
  Evidence.Status = Call.head().Status;
  std::optional<ServerReport> report;
  if (Evidence.Status == StatusOk)
    report = Context.Codec.ParseReport(body);
  Evidence.ReportedStart = report ? report->StartedAt : 0;
}

void SenderInquiry::ask() {
  Evidence.Status = 0;
  Evidence.ReportedStart = 0;
  if (!awaitPermit())
    return;
  CallPtr call;
  Evidence.OpenedAtEnd = !OpenedAtEnd.empty();
  if (Evidence.OpenedAtEnd) {
    call = std::move(OpenedAtEnd.back());
    OpenedAtEnd.pop_back();
  } else {
    call = open();
  }
  if (call)
    read(*call);
  else
    Context.Limits.release(Server.Id, 1);
  Evidence.LeftAtEnd = static_cast<uint32_t>(OpenedAtEnd.size());
  if (Evidence.Status == 0)
    ++Evidence.Unanswered;
}

SenderState SenderInquiry::run() {
  SenderDecision decision = decide();
  while (decision.Step == SenderStep::Ask && pause(decision.Pause)) {
    ask();
    decision = decide();
  }
  return decide().State;
}

} // namespace crocusspur::gateway
