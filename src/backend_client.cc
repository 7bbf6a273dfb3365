#include "backend_client.h"

#include "event_splitter.h"
#include "gateway/decisions/streams/sender_state.h"
#include "json_document.h"

#include <Poco/Dynamic/Var.h>
#include <Poco/Exception.h>
#include <Poco/JSON/Object.h>
#include <algorithm>
#include <cstdio>
#include <memory>
#include <string_view>
#include <strings.h>
#include <utility>

namespace crocusspur::internal {
namespace {

using Clock = std::chrono::steady_clock;

// Idle connections kept per server. A prefill server runs only a few prefills
// at a time, and control calls to one server are made one after another.
constexpr size_t MaxIdlePerServer = 8;
// Shorter than the keep-alive timeout of common HTTP servers (5 s), so that a
// reused connection is rarely one that the server is closing.
constexpr Milliseconds MaxIdleTime{4000};
// Opened as a response without a length ends. If the first closes without a
// response, the other one still leads to the same process.
constexpr size_t ConnectionsAtEnd = 2;
constexpr size_t MaxControlResponseBytes = 4 * 1024 * 1024;
constexpr size_t MaxJsonResponseBytes = 65536;
constexpr size_t MaxEventBytes = 1024 * 1024;

StageOutcome toOutcome(ExchangeStatus Status, bool ByteSent) {
  switch (Status) {
  case ExchangeStatus::Ok:
    return StageOutcome::Ok;
  case ExchangeStatus::TimedOut:
    return ByteSent ? StageOutcome::TimedOut : StageOutcome::NotSent;
  case ExchangeStatus::NotSent:
    return StageOutcome::NotSent;
  case ExchangeStatus::Failed:
  case ExchangeStatus::Interrupted:
    break;
  }
  return ByteSent ? StageOutcome::Failed : StageOutcome::NotSent;
}

BackendCallResult toResult(ExchangeStatus Status,
                           const HttpExchange &Exchange) {
  return {toOutcome(Status, Exchange.byteSent()),
          Status == ExchangeStatus::Interrupted};
}

StageOutcome refusalOutcome(const std::string &Reason) {
  if (Reason == "full")
    return StageOutcome::RefusedFull;
  if (Reason == "fence")
    return StageOutcome::RefusedFence;
  return Reason.empty() ? StageOutcome::Failed : StageOutcome::RefusedOther;
}

Poco::JSON::Object::Ptr parseObject(const std::string &Text) {
  static constexpr std::string_view Names[] = {"refused", "kv_bytes"};
  return parseJson(Text, {.Kept = Names, .MaxDepth = 8}).Root;
}

std::string formatRequestHead(const std::string &Method,
                              const std::string &Path,
                              const std::string &Address, bool KeepAlive) {
  return Method + " " + Path + " HTTP/1.1\r\nHost: " + Address +
         (KeepAlive ? "\r\n" : "\r\nConnection: close\r\n");
}

std::string formatJsonRequest(const std::string &Method,
                              const std::string &Path,
                              const std::string &Address, bool KeepAlive,
                              const std::string &Body) {
  std::string text = formatRequestHead(Method, Path, Address, KeepAlive);
  text.reserve(text.size() + Body.size() + 80);
  if (!Body.empty())
    text += "Content-Type: application/json\r\nContent-Length: " +
            std::to_string(Body.size()) + "\r\n";
  return text + "\r\n" + Body;
}

// JSON of the fields that engine requests share, without the closing brace.
std::string commonFields(const EngineRequest &Request) {
  std::string text = "{\"request\":\"" + Request.Id.str() +
                     "\",\"attempt\":" + std::to_string(Request.Attempt) +
                     ",\"fence\":" + std::to_string(Request.Fence) +
                     ",\"model\":";
  appendJsonString(text, Request.Model);
  text += ",\"group\":";
  appendJsonString(text, Request.Group);
  return text + ",\"priority\":" + std::to_string(Request.Priority);
}

std::string prefillBody(const PrefillRequest &Request) {
  std::string text = commonFields(Request.Common);
  text += ",\"prompt_tokens\":" + std::to_string(Request.PromptTokens);
  text += ",\"prefix_hashes\":[";
  for (size_t i = 0; i < Request.PrefixHashes->size(); ++i) {
    char buf[24];
    std::snprintf(buf, sizeof buf, "%s\"%016llx\"", i ? "," : "",
                  static_cast<unsigned long long>((*Request.PrefixHashes)[i]));
    text += buf;
  }
  return text + "],\"prompt\":" + *Request.PromptJson + "}";
}

std::string decodeBody(const DecodeRequest &Request) {
  std::string text = commonFields(Request.Common);
  text += ",\"source\":";
  appendJsonString(text, Request.Source);
  text += ",\"max_tokens\":" + std::to_string(Request.MaxTokens);
  text += ",\"first_index\":" + std::to_string(Request.FirstIndex);
  if (Request.PromptJson)
    text += ",\"prompt\":" + *Request.PromptJson;
  return text + "}";
}

std::string formatServiceRequest(const ServiceRequest &Request,
                                 const std::string &Address) {
  std::string text =
      formatRequestHead(Request.Method, Request.Path, Address, false);
  auto add = [&](const char *Name, const std::string &Value) {
    if (!Value.empty())
      text += std::string(Name) + ": " + Value + "\r\n";
  };
  add("Content-Type", Request.ContentType);
  add("Accept", Request.Accept);
  add("Idempotency-Key", Request.IdempotencyKey);
  add("Crocusspur-Request", Request.Id.str());
  if (Request.Fence != 0)
    add("Crocusspur-Fence", std::to_string(Request.Fence));
  bool hasBody = !Request.Body->empty() ||
                 (Request.Method != "GET" && Request.Method != "HEAD");
  if (hasBody)
    add("Content-Length", std::to_string(Request.Body->size()));
  return text + "\r\n" + *Request.Body;
}

// Reads the body of a response other than 200. Distinguishes a refusal before
// execution from everything else, which doesn't say whether the request was
// executed.
BackendCallResult readRefusal(HttpExchange &Exchange, Milliseconds Timeout) {
  uint32_t status = Exchange.head().Status;
  if (status != 409 && status != 503)
    return {StageOutcome::Failed, false};
  std::string body;
  ExchangeStatus read = Exchange.readWholeBody(body, MaxJsonResponseBytes,
                                               Timeout, Clock::now() + Timeout);
  if (read != ExchangeStatus::Ok)
    return toResult(read, Exchange);
  Poco::JSON::Object::Ptr object = parseObject(body);
  std::string reason =
      object ? object->optValue<std::string>("refused", "") : "";
  return {refusalOutcome(reason), false};
}

ExchangeStatus open(HttpExchange &Exchange, const BackendCall &Call) {
  return Exchange.connect(
      Call.Address,
      std::min(Clock::now() + Call.ConnectTimeout, Call.NotAfter));
}

ExchangeStatus sendAndReadHead(HttpExchange &Exchange, const BackendCall &Call,
                               const std::string &Request,
                               const std::string &Method) {
  ExchangeStatus status = Exchange.send(Request, Call.NotAfter, Call.Timeout);
  return status == ExchangeStatus::Ok ? Exchange.readHead(Method, Call.Timeout)
                                      : status;
}

// Splits a stream into server-sent events and passes them to the handler.
class EventReader {
public:
  EventReader(HttpExchange &Exchange, DecodeHandler &Handler)
      : Exchange(Exchange), Handler(Handler) {}

  BackendCallResult run(Milliseconds Timeout) {
    bool end = false;
    while (true) {
      ExchangeStatus status = Exchange.readBody(Text, end, Timeout);
      if (status != ExchangeStatus::Ok) {
        Handler.onBatch(); // delivers what was received before the failure
        return toResult(status, Exchange);
      }
      if (!takeLines() || Text.size() > MaxEventBytes) {
        Handler.onBatch();
        return {StageOutcome::Failed, false};
      }
      if (!Handler.onBatch())
        return {Done ? StageOutcome::Ok : StageOutcome::Failed, true};
      if (Done || end)
        return {Done ? StageOutcome::Ok : StageOutcome::Failed, false};
    }
  }

private:
  bool takeLines() {
    size_t begin = 0;
    size_t n;
    while (!Done && (n = Text.find('\n', begin)) != std::string::npos) {
      std::string_view line(Text.data() + begin, n - begin);
      begin = n + 1;
      if (line.starts_with("data:") && !takeEvent(line.substr(5)))
        return false;
    }
    Text.erase(0, begin);
    return true;
  }

  bool takeEvent(std::string_view Data) {
    EngineEvent event;
    if (!parseEngineEvent(Data, event) || !Handler.onEvent(event))
      return false;
    Done = event.Done;
    return true;
  }

  HttpExchange &Exchange;
  DecodeHandler &Handler;
  std::string Text;
  bool Done = false;
};

bool isEventStream(const HttpHead &Head) {
  const std::string *type = Head.find("Content-Type");
  constexpr std::string_view Name = "text/event-stream";
  return type && strncasecmp(type->c_str(), Name.data(), Name.size()) == 0;
}

// An event stream that ends inside an event has broken off, however the end of
// its body is marked.
BackendCallResult relayServiceResponse(HttpExchange &Exchange,
                                       ServiceHandler &Handler,
                                       Milliseconds Timeout) {
  if (!Handler.onHead(Exchange.head()))
    return {StageOutcome::Failed, true};
  bool checkEvents = isEventStream(Exchange.head());
  EventSplitter events;
  std::string event;
  std::string data;
  bool end = false;
  while (!end) {
    data.clear();
    ExchangeStatus status = Exchange.readBody(data, end, Timeout);
    if (status != ExchangeStatus::Ok)
      return toResult(status, Exchange);
    if (!data.empty() && !Handler.onBody(data))
      return {StageOutcome::Failed, true};
    if (!checkEvents)
      continue;
    events.add(data);
    while (events.next(event)) {
    }
    events.dropExamined();
  }
  if (checkEvents && events.insideEvent())
    return {StageOutcome::Failed, false};
  return {};
}

} // namespace

BackendSocketPtr BackendClient::takeIdle(const std::string &Address) {
  std::lock_guard lock(Mutex);
  std::vector<IdleSocket> &sockets = Idle[Address];
  TimePoint oldest = Clock::now() - MaxIdleTime;
  while (!sockets.empty()) {
    IdleSocket item = std::move(sockets.back());
    sockets.pop_back();
    if (item.IdleSince >= oldest && item.Socket->isIdleAndOpen())
      return std::move(item.Socket);
  }
  return nullptr;
}

void BackendClient::keepIdle(const std::string &Address,
                             BackendSocketPtr Socket) {
  if (!Socket)
    return;
  std::lock_guard lock(Mutex);
  std::vector<IdleSocket> &sockets = Idle[Address];
  if (sockets.size() < MaxIdlePerServer)
    sockets.push_back({std::move(Socket), Clock::now()});
}

// A reused connection that breaks before the response counts as Failed like a
// new one: the server may have received the request and crashed on it, and a
// silent retry would hide the crash from the crash tracker.
PrefillResult BackendClient::prefill(const BackendCall &Call,
                                     const PrefillRequest &Request,
                                     SocketWaiter &Waiter) {
  HttpExchange exchange(Waiter);
  ExchangeStatus status = ExchangeStatus::Ok;
  if (BackendSocketPtr socket = takeIdle(Call.Address))
    exchange.adopt(std::move(socket));
  else
    status = open(exchange, Call);
  if (status == ExchangeStatus::Ok)
    status =
        sendAndReadHead(exchange, Call,
                        formatJsonRequest("POST", "/v1/prefill", Call.Address,
                                          true, prefillBody(Request)),
                        "POST");
  if (status != ExchangeStatus::Ok)
    return {toResult(status, exchange)};
  if (exchange.head().Status != 200) {
    PrefillResult result{readRefusal(exchange, Call.Timeout)};
    keepIdle(Call.Address, exchange.release());
    return result;
  }
  std::string body;
  status = exchange.readWholeBody(body, MaxJsonResponseBytes, Call.Timeout,
                                  Clock::now() + Call.Timeout);
  Poco::JSON::Object::Ptr object =
      status == ExchangeStatus::Ok ? parseObject(body) : nullptr;
  if (!object)
    return {
        toResult(status == ExchangeStatus::Ok ? ExchangeStatus::Failed : status,
                 exchange)};
  keepIdle(Call.Address, exchange.release());
  PrefillResult result;
  result.KvBytes = object->optValue<Poco::UInt64>("kv_bytes", 0);
  return result;
}

BackendCallResult BackendClient::decode(const BackendCall &Call,
                                        const DecodeRequest &Request,
                                        SocketWaiter &Waiter,
                                        DecodeHandler &Handler) {
  HttpExchange exchange(Waiter);
  ExchangeStatus status = open(exchange, Call);
  if (status == ExchangeStatus::Ok)
    status =
        sendAndReadHead(exchange, Call,
                        formatJsonRequest("POST", "/v1/decode", Call.Address,
                                          false, decodeBody(Request)),
                        "POST");
  if (status != ExchangeStatus::Ok)
    return toResult(status, exchange);
  if (exchange.head().Status != 200)
    return readRefusal(exchange, Call.Timeout);
  return EventReader(exchange, Handler).run(Call.Timeout);
}

BackendCallResult BackendClient::service(const BackendCall &Call,
                                         const ServiceRequest &Request,
                                         SocketWaiter &Waiter,
                                         ServiceHandler &Handler) {
  HttpExchange exchange(Waiter);
  ExchangeStatus status = open(exchange, Call);
  if (status == ExchangeStatus::Ok)
    status = sendAndReadHead(exchange, Call,
                             formatServiceRequest(Request, Call.Address),
                             Request.Method);
  if (status != ExchangeStatus::Ok)
    return toResult(status, exchange);
  const std::string *refused = exchange.head().find("Crocusspur-Refused");
  if (exchange.head().Status == 503 && refused)
    return {refusalOutcome(*refused), false};
  BackendCallResult result =
      relayServiceResponse(exchange, Handler, Call.Timeout);
  if (result.Outcome == StageOutcome::Ok &&
      exchange.bodyForm() == BodyForm::UntilClose)
    return confirmEnd(Call, Waiter);
  return result;
}

// The kernel ends the connections of a server that is killed as an orderly end
// of a response does, and for a moment accepts new ones for it. Only a response
// on a connection opened then shows that the server lives after the end.
BackendCallResult BackendClient::confirmEnd(const BackendCall &Call,
                                            SocketWaiter &Waiter) {
  const BackendCallResult interrupted{StageOutcome::Failed, true};
  TimePoint until = Clock::now() + Call.Timeout;
  BackendCall check = Call;
  check.NotAfter = TimePoint::max();
  gateway::SenderEvidence evidence;
  std::vector<std::unique_ptr<HttpExchange>> opened;
  while (opened.size() < ConnectionsAtEnd && !evidence.Refused) {
    auto exchange = std::make_unique<HttpExchange>(Waiter);
    ExchangeStatus status = open(*exchange, check);
    if (status == ExchangeStatus::Interrupted)
      return interrupted;
    evidence.Refused = exchange->connectionRefused();
    if (status != ExchangeStatus::Ok)
      break;
    opened.push_back(std::move(exchange));
  }
  evidence.LeftAtEnd = static_cast<uint32_t>(opened.size());
  gateway::SenderDecision decision = gateway::decideOnSender(evidence);
  for (const auto &it : opened) {
    if (decision.Step != gateway::SenderStep::Ask) {
      keepIdle(Call.Address, it->releaseUnused());
      continue;
    }
    if (Waiter.wait(-1, 0, Clock::now() + decision.Pause) ==
        WaitResult::Interrupted)
      return interrupted;
    check.Timeout = std::max(
        Milliseconds(0), std::chrono::ceil<Milliseconds>(until - Clock::now()));
    ExchangeStatus status = sendAndReadHead(
        *it, check,
        formatJsonRequest("GET", "/v1/load", Call.Address, true, ""), "GET");
    std::string body;
    if (status == ExchangeStatus::Ok)
      status = it->readWholeBody(body, MaxControlResponseBytes, check.Timeout,
                                 until);
    if (status == ExchangeStatus::Interrupted)
      return interrupted;
    if (status == ExchangeStatus::Ok) {
      evidence.Status = it->head().Status;
      keepIdle(Call.Address, it->release());
    } else
      ++evidence.Unanswered;
    --evidence.LeftAtEnd;
    evidence.TimedOut = Clock::now() >= until;
    decision = gateway::decideOnSender(evidence);
  }
  if (decision.Step == gateway::SenderStep::Whole)
    return {};
  return {StageOutcome::Failed, false};
}

bool BackendClient::tryControl(const BackendCall &Call,
                               const std::string &Request,
                               const std::string &Method, bool Reuse,
                               bool &Retry, uint32_t &Status,
                               std::string &Response) {
  PollWaiter waiter;
  HttpExchange exchange(waiter);
  BackendSocketPtr socket = Reuse ? takeIdle(Call.Address) : nullptr;
  bool reused = socket != nullptr;
  ExchangeStatus status = ExchangeStatus::Ok;
  if (reused)
    exchange.adopt(std::move(socket));
  else
    status = open(exchange, Call);
  if (status == ExchangeStatus::Ok)
    status = sendAndReadHead(exchange, Call, Request, Method);
  if (status == ExchangeStatus::Ok)
    status = exchange.readWholeBody(Response, MaxControlResponseBytes,
                                    Call.Timeout, Clock::now() + Call.Timeout);
  Retry =
      reused && !exchange.byteReceived() && status != ExchangeStatus::TimedOut;
  if (status != ExchangeStatus::Ok)
    return false;
  Status = exchange.head().Status;
  keepIdle(Call.Address, exchange.release());
  return true;
}

bool BackendClient::control(const BackendCall &Call, const std::string &Method,
                            const std::string &Path, const std::string &Body,
                            uint32_t &Status, std::string &Response) {
  std::string request =
      formatJsonRequest(Method, Path, Call.Address, true, Body);
  bool retry = false;
  if (tryControl(Call, request, Method, true, retry, Status, Response))
    return true;
  Response.clear();
  return retry &&
         tryControl(Call, request, Method, false, retry, Status, Response);
}

} // namespace crocusspur::internal
