#include "caller_reader.h"
#include "connection_server.h"
#include "crocusspur/kernel.h"
#include "digest.h"
#include "http_sink.h"
#include "log.h"
#include "relay.h"
#include "runtime.h"

#include <Poco/Net/StreamSocket.h>
#include <atomic>
#include <boost/leaf.hpp>
#include <condition_variable>
#include <mutex>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <set>
#include <strings.h>
#include <sys/socket.h>
#include <utility>

namespace crocusspur::internal {
namespace {

using Poco::Net::StreamSocket;

// The deepest call of a connection's thread needs some 50 KiB (two read buffers
// of 16 KiB and the parsers); 1,024 threads then reserve 256 MiB of addresses.
constexpr int StackBytes = 262144;
constexpr int MinThreads = 16;
// Threads that answer connections over the limit with 503.
constexpr uint32_t SpareThreads = 32;
constexpr Milliseconds RefusalReadLimit{500};
constexpr int Backlog = 1024;
// For the last answers of requests that the core has given up at shutdown.
constexpr Milliseconds LastAnswerTime{1000};

// One request of a connection: from its head to its answer.
struct Exchange {
  HttpHead Head;
  BodyFraming Framing;
  Route Path;
  RequestId Id;
  ConfigPtr Config;
  std::string Group;
  std::string Key;
  bool BodyRead = false;
};

class CallerFront : public Plugin {
public:
  bool start(Kernel &Owner) override;
  void stop() override;

  // Serves one connection on its thread.
  void serve(int Fd);

private:
  bool admit(const StreamSocket &Socket);
  bool serveOne(CallerReader &Reader, int Fd);
  void countRunning(int Change);
  void refuse(int Fd);
  void answerUnreadable(RequestReadStatus Verdict, HttpSink &Sink);
  void handle(Exchange &Item, CallerReader &Reader, HttpSink &Sink);
  // Each returns nothing, or the fault for which the request is refused.
  std::optional<RequestFault> checkRoute(Exchange &Item) const;
  std::optional<RequestFault> authenticate(Exchange &Item) const;
  std::optional<RequestFault> checkKey(Exchange &Item) const;
  std::optional<RequestFault> readBody(Exchange &Item, CallerReader &Reader,
                                       int Fd, std::string &Body) const;
  void run(Exchange &Item, std::string Body, HttpSink &Sink);
  void answerTicket(const Exchange &Item, HttpSink &Sink);

  EventSink *Events = nullptr;
  RelayRunner *Relays = nullptr;
  const Settings *Values = nullptr;
  ReadLimits Limits;
  ConnectionServer Server;
  std::atomic<uint32_t> Open{0};
  std::atomic<bool> Stopping{false};
  std::mutex Mutex;
  std::condition_variable Idle; // the last running request has ended
  std::set<int> Sockets;        // of open connections
  uint32_t Running = 0;         // requests between their head and answer
};

std::string overloadAnswer() {
  std::string body = formatProblem(
      makeProblem(ErrorKind::Overloaded, "too many connections", RequestId()));
  return "HTTP/1.1 503 Service Unavailable\r\nContent-Type: " +
         std::string(ProblemType) +
         "\r\nContent-Length: " + std::to_string(body.size()) +
         "\r\nRetry-After: 1\r\nConnection: close\r\n\r\n" + body;
}

// Refuses connections that not even a spare thread can answer.
bool CallerFront::admit(const StreamSocket &Socket) {
  if (Open.load() < Values->MaxConnections + SpareThreads) {
    ++Open;
    return true;
  }
  std::string text = overloadAnswer();
  ::send(Socket.impl()->sockfd(), text.data(), text.size(),
         MSG_NOSIGNAL | MSG_DONTWAIT);
  return false;
}

// Finds callers that have gone silent without closing: four probes, each five
// seconds apart.
void prepareSocket(int Fd) {
  int one = 1;
  int seconds = 5;
  int probes = 3;
  ::setsockopt(Fd, IPPROTO_TCP, TCP_NODELAY, &one, sizeof one);
  ::setsockopt(Fd, SOL_SOCKET, SO_KEEPALIVE, &one, sizeof one);
  ::setsockopt(Fd, IPPROTO_TCP, TCP_KEEPIDLE, &seconds, sizeof seconds);
  ::setsockopt(Fd, IPPROTO_TCP, TCP_KEEPINTVL, &seconds, sizeof seconds);
  ::setsockopt(Fd, IPPROTO_TCP, TCP_KEEPCNT, &probes, sizeof probes);
}

bool CallerFront::start(Kernel &Owner) {
  Events = Owner.find<EventSink>();
  Relays = Owner.find<RelayRunner>();
  Values = &Owner.settings();
  if (!Events || !Relays) {
    log(LogLevel::Error, "caller_front", "core or relay is missing");
    return false;
  }
  Limits.MaxHeaderFields = Values->MaxHeaderFields;
  Limits.MaxBodyBytes = Values->MaxBodyBytes;
  Limits.IdleTimeout = Values->IdleTimeout;
  ConnectionServerOptions options;
  options.Name = "callers";
  options.Address = Values->CallerAddress;
  options.MinThreads = MinThreads;
  options.MaxThreads = static_cast<int>(Values->MaxConnections + SpareThreads);
  options.MaxQueued = options.MaxThreads;
  options.Backlog = Backlog;
  options.StackBytes = StackBytes;
  std::string fault = Server.start(
      options, [this](StreamSocket &Socket) { serve(Socket.impl()->sockfd()); },
      [this](const StreamSocket &Socket) { return admit(Socket); });
  if (!fault.empty()) {
    log(LogLevel::Error, "caller_front", "could not listen",
        {{"address", options.Address}, {"reason", fault}});
    return false;
  }
  log(LogLevel::Info, "caller_front", "listening",
      {{"front", "callers"}, {"address", Server.address()}});
  return true;
}

void CallerFront::stop() {
  Stopping.store(true);
  Server.stopAccepting();
  {
    std::unique_lock lock(Mutex);
    Idle.wait_for(lock, LastAnswerTime, [this] { return Running == 0; });
    for (int it : Sockets)
      ::shutdown(it, SHUT_RD);
  }
  Server.join();
}

void CallerFront::serve(int Fd) {
  {
    std::lock_guard lock(Mutex);
    Sockets.insert(Fd);
  }
  prepareSocket(Fd);
  try {
    if (Stopping.load() || Open.load() > Values->MaxConnections) {
      refuse(Fd);
    } else {
      CallerReader reader(Fd, Limits);
      while (!Stopping.load() && serveOne(reader, Fd)) {
      }
      reader.lingeringClose();
    }
  } catch (const std::exception &error) {
    log(LogLevel::Error, "caller_front", "connection failed",
        {{"reason", error.what()}});
  }
  std::lock_guard lock(Mutex);
  Sockets.erase(Fd);
  --Open;
}

// Reads the head first: an answer that comes before the request is lost to
// callers that are still sending.
void CallerFront::refuse(int Fd) {
  ReadLimits limits = Limits;
  limits.IdleTimeout = RefusalReadLimit;
  CallerReader reader(Fd, limits);
  HttpHead head;
  reader.readHead(head);
  HttpSinkOptions options;
  options.KeepAlive = false;
  HttpSink sink(Fd, options);
  ErrorKind kind =
      Stopping.load() ? ErrorKind::ShuttingDown : ErrorKind::Overloaded;
  writeProblem(sink, makeProblem(kind, "too many connections", RequestId()));
  reader.lingeringClose();
}

void CallerFront::answerUnreadable(RequestReadStatus Verdict, HttpSink &Sink) {
  ErrorKind kind = ErrorKind::BadRequest;
  std::string detail = "the head is not HTTP/1.1";
  if (Verdict == RequestReadStatus::TooLarge) {
    kind = ErrorKind::HeaderTooLarge;
    detail = "at most " + std::to_string(Limits.MaxHeaderFields) +
             " fields, 8192 bytes a line and " + std::to_string(MaxHeadBytes) +
             " bytes in all";
  } else if (Verdict == RequestReadStatus::TimedOut) {
    kind = ErrorKind::CallerTimeout;
    detail = "the head took too long";
  }
  Sink.closeAfterResponse();
  writeProblem(Sink, makeProblem(kind, detail, Events->nextRequestId()));
}

// Returns whether another request can follow on the connection.
bool CallerFront::serveOne(CallerReader &Reader, int Fd) {
  Exchange item;
  RequestReadStatus verdict = Reader.readHead(item.Head);
  if (verdict == RequestReadStatus::Closed)
    return false;
  HttpSinkOptions options;
  options.KeepAlive =
      verdict == RequestReadStatus::Ok && item.Head.wantsKeepAlive();
  options.MayChunk = item.Head.MinorVersion >= 1;
  options.HeadOnly = item.Head.Method == "HEAD";
  options.WriteTimeout = Limits.IdleTimeout;
  HttpSink sink(Fd, options);
  if (verdict != RequestReadStatus::Ok) {
    answerUnreadable(verdict, sink);
    return false;
  }
  if (!Events->ready())
    sink.closeAfterResponse(); // a draining instance lets its connections go
  countRunning(1);
  handle(item, Reader, sink);
  countRunning(-1);
  return sink.keepsAlive();
}

void CallerFront::countRunning(int Change) {
  std::lock_guard lock(Mutex);
  Running += static_cast<uint32_t>(Change);
  if (Running == 0)
    Idle.notify_all();
}

void CallerFront::handle(Exchange &Item, CallerReader &Reader, HttpSink &Sink) {
  Item.Id = Events->nextRequestId();
  Item.Config = Events->config();
  std::string body;
  std::optional<RequestFault> fault = checkRoute(Item);
  if (!fault)
    fault = authenticate(Item);
  if (!fault)
    fault = checkKey(Item);
  if (!fault)
    fault = readBody(Item, Reader, Sink.watchedSocket(), body);
  Item.BodyRead = !fault;
  if (fault) {
    // The body, or the rest of it, is still unread.
    if (Item.Framing.Form != BodyForm::None)
      Sink.closeAfterResponse();
    log(LogLevel::Debug, "caller_front", "request refused",
        {{"request", Item.Id.str()},
         {"group", Item.Group},
         {"kind", errorResponse(fault->Kind).Name},
         {"config_version", std::to_string(Item.Config->Version)}});
    writeProblem(Sink, makeProblem(fault->Kind, fault->Detail, Item.Id));
    return;
  }
  if (Item.Path.Kind == RouteKind::Ticket)
    answerTicket(Item, Sink);
  else
    run(Item, std::move(body), Sink);
}

std::optional<RequestFault> CallerFront::checkRoute(Exchange &Item) const {
  if (!requestFraming(Item.Head, Item.Framing)) {
    // The end of the message is unknown, so the connection can't be kept.
    Item.Framing.Form = BodyForm::UntilClose;
    return RequestFault{ErrorKind::BadRequest,
                        "Content-Length or Transfer-Encoding is not usable"};
  }
  std::optional<Route> route = findRoute(Item.Head.Target);
  if (!route)
    return RequestFault{ErrorKind::NotFound, "there is nothing at this path"};
  Item.Path = std::move(*route);
  if (Item.Path.Kind != RouteKind::Service && Item.Head.Method != "POST")
    return RequestFault{ErrorKind::BadRequest, "this path takes POST"};
  return std::nullopt;
}

std::optional<RequestFault> CallerFront::authenticate(Exchange &Item) const {
  if (Item.Config->Version == 0)
    return RequestFault{ErrorKind::NotReady, ""};
  const std::string *value = Item.Head.find("Authorization");
  std::string token = value ? bearerToken(*value) : "";
  const GroupConfig *group =
      token.empty() ? nullptr
                    : Item.Config->findGroupByTokenDigest(sha256Hex(token));
  if (!group)
    return RequestFault{ErrorKind::Unauthorized, ""};
  if (!isAllowedIn(*group, Values->Region, Values->FailureDomain))
    return RequestFault{ErrorKind::ResidencyViolation, ""};
  Item.Group = group->Name;
  return std::nullopt;
}

std::optional<RequestFault> CallerFront::checkKey(Exchange &Item) const {
  const std::string *key = Item.Head.find("Idempotency-Key");
  if (!key)
    return std::nullopt;
  if (!isIdempotencyKey(*key) || Item.Head.count("Idempotency-Key") != 1)
    return RequestFault{ErrorKind::BadRequest,
                        "Idempotency-Key must be given once, as at most 128 "
                        "printable characters without spaces"};
  Item.Key = *key;
  return std::nullopt;
}

std::optional<RequestFault> CallerFront::readBody(Exchange &Item,
                                                  CallerReader &Reader, int Fd,
                                                  std::string &Body) const {
  const std::string *expect = Item.Head.find("Expect");
  bool tooLarge = Item.Framing.Form == BodyForm::Length &&
                  Item.Framing.Length > Limits.MaxBodyBytes;
  if (expect && !tooLarge && Item.Framing.Form != BodyForm::None &&
      strcasecmp(expect->c_str(), "100-continue") == 0) {
    const std::string interim = "HTTP/1.1 100 Continue\r\n\r\n";
    ::send(Fd, interim.data(), interim.size(), MSG_NOSIGNAL);
  }
  switch (Reader.readBody(Item.Framing, Body)) {
  case RequestReadStatus::Ok:
    return std::nullopt;
  case RequestReadStatus::TooLarge:
    return RequestFault{ErrorKind::BodyTooLarge,
                        "at most " + std::to_string(Limits.MaxBodyBytes) +
                            " bytes"};
  case RequestReadStatus::Malformed:
    return RequestFault{ErrorKind::BadRequest,
                        "the chunks of the body are malformed"};
  case RequestReadStatus::Closed:
  case RequestReadStatus::TimedOut:
    break;
  }
  return RequestFault{ErrorKind::CallerTimeout,
                      "the body was not received in time"};
}

void CallerFront::run(Exchange &Item, std::string Body, HttpSink &Sink) {
  auto field = [&](const char *Name) {
    const std::string *value = Item.Head.find(Name);
    return value ? *value : std::string();
  };
  RequestInput input;
  input.Method = Item.Head.Method;
  input.Target = Item.Head.Target;
  input.ContentType = field("Content-Type");
  input.Accept = field("Accept");
  input.Group = Item.Group;
  input.IdempotencyKey = Item.Key;
  input.Body = std::move(Body);
  boost::leaf::try_handle_all(
      [&]() -> boost::leaf::result<void> {
        BOOST_LEAF_AUTO(request,
                        parseCallerRequest(std::move(input), *Item.Config));
        request.Id = Item.Id;
        Relays->run(std::move(request), Sink);
        return {};
      },
      [&](const RequestFault &Fault) {
        writeProblem(Sink, makeProblem(Fault.Kind, Fault.Detail, Item.Id));
      },
      [&] {
        writeProblem(Sink, makeProblem(ErrorKind::Internal, "", Item.Id));
      });
}

void CallerFront::answerTicket(const Exchange &Item, HttpSink &Sink) {
  std::string ticket = Events->ready() ? Events->makeTicket() : "";
  if (ticket.empty()) {
    writeProblem(Sink, makeProblem(ErrorKind::NotReady, "", Item.Id));
    return;
  }
  ResponseHead head;
  head.ContentType = "application/json";
  writeResponse(Sink, head, "{\"ticket\":\"" + ticket + "\"}");
}

const PluginRegistration Registration{{"caller_front", Phase::Listeners, [] {
                                         return std::make_unique<CallerFront>();
                                       }}};

} // namespace
} // namespace crocusspur::internal
