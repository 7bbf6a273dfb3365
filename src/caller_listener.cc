#include "caller_reader.h"
#include "checked_mutex.h"
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

// The deepest call of a connection's thread needs about 50 KiB (two read
// buffers of 16 KiB and the parsers). 1,024 threads reserve 256 MiB of address
// space.
constexpr int StackBytes = 262144;
constexpr int MinThreads = 16;
// Threads that respond to connections over the limit with 503.
constexpr uint32_t OverloadThreads = 32;
constexpr Milliseconds RejectionReadTimeout{500};
constexpr int Backlog = 1024;
// Time for the last responses to requests that the core aborts at shutdown.
constexpr Milliseconds LastResponseTimeout{1000};

// One request of a connection, from its head to its response.
struct PendingRequest {
  HttpHead Head;
  BodyFraming Framing;
  Route Path;
  RequestId Id;
  ConfigPtr Config;
  std::string Group;
  std::string Key;
  bool BodyRead = false;
};

class CallerListener : public Plugin {
public:
  bool start(Kernel &Owner) override;
  void stop() override;

  // Serves one connection on its thread.
  void serve(int Fd);

private:
  bool admit(const StreamSocket &Socket);
  // Returns whether another request can follow on the connection. Sets `Cut` if
  // the response isn't complete and only a reset shows that; see
  // HttpSink::needsReset().
  bool serveOne(CallerReader &Reader, int Fd, bool &Cut);
  void countActive(int Change);
  void rejectConnection(int Fd);
  void rejectUnreadable(RequestReadStatus Status, HttpSink &Sink);
  void handle(PendingRequest &Pending, CallerReader &Reader, HttpSink &Sink);
  // Each returns nothing, or the error with which the request is rejected.
  std::optional<RequestError> checkRoute(PendingRequest &Pending) const;
  std::optional<RequestError> authenticate(PendingRequest &Pending) const;
  std::optional<RequestError> checkKey(PendingRequest &Pending) const;
  std::optional<RequestError> readBody(PendingRequest &Pending,
                                       CallerReader &Reader, int Fd,
                                       std::string &Body) const;
  void run(PendingRequest &Pending, std::string Body, HttpSink &Sink);
  void sendTicket(const PendingRequest &Pending, HttpSink &Sink);

  EventSink *Events = nullptr;
  RelayRunner *Relays = nullptr;
  const Settings *Values = nullptr;
  ReadLimits Limits;
  ConnectionServer Server;
  std::atomic<uint32_t> OpenConnections{0};
  std::atomic<bool> Stopping{false};
  LeafMutex Mutex;
  ConditionVariable Idle;      // no request is active
  std::set<int> Sockets;       // of open connections
  uint32_t ActiveRequests = 0; // requests between head and response
};

std::string overloadResponse() {
  std::string body = formatProblem(
      makeProblem(ErrorKind::Overloaded, "too many connections", RequestId()));
  return "HTTP/1.1 503 Service Unavailable\r\nContent-Type: " +
         std::string(ProblemType) +
         "\r\nContent-Length: " + std::to_string(body.size()) +
         "\r\nRetry-After: 1\r\nConnection: close\r\n\r\n" + body;
}

// Rejects connections for which not even an overload thread is left.
bool CallerListener::admit(const StreamSocket &Socket) {
  if (OpenConnections.load() < Values->MaxConnections + OverloadThreads) {
    ++OpenConnections;
    return true;
  }
  std::string text = overloadResponse();
  ::send(Socket.impl()->sockfd(), text.data(), text.size(),
         MSG_NOSIGNAL | MSG_DONTWAIT);
  return false;
}

// Detects callers that disappear without closing the connection: after 5 s
// without data, three probes 5 s apart.
void configureSocket(int Fd) {
  int one = 1;
  int seconds = 5;
  int probes = 3;
  ::setsockopt(Fd, IPPROTO_TCP, TCP_NODELAY, &one, sizeof one);
  ::setsockopt(Fd, SOL_SOCKET, SO_KEEPALIVE, &one, sizeof one);
  ::setsockopt(Fd, IPPROTO_TCP, TCP_KEEPIDLE, &seconds, sizeof seconds);
  ::setsockopt(Fd, IPPROTO_TCP, TCP_KEEPINTVL, &seconds, sizeof seconds);
  ::setsockopt(Fd, IPPROTO_TCP, TCP_KEEPCNT, &probes, sizeof probes);
}

bool CallerListener::start(Kernel &Owner) {
  Events = Owner.find<EventSink>();
  Relays = Owner.find<RelayRunner>();
  Values = &Owner.settings();
  if (!Events || !Relays) {
    log(LogLevel::Error, "caller_front",
        "decision core or relay is not available");
    return false;
  }
  Limits.MaxHeaderFields = Values->MaxHeaderFields;
  Limits.MaxBodyBytes = Values->MaxBodyBytes;
  Limits.IdleTimeout = Values->IdleTimeout;
  ConnectionServerOptions options;
  options.Name = "callers";
  options.Address = Values->CallerAddress;
  options.MinThreads = MinThreads;
  options.MaxThreads =
      static_cast<int>(Values->MaxConnections + OverloadThreads);
  options.MaxQueued = options.MaxThreads;
  options.Backlog = Backlog;
  options.StackBytes = StackBytes;
  std::string error = Server.start(
      options, [this](StreamSocket &Socket) { serve(Socket.impl()->sockfd()); },
      [this](const StreamSocket &Socket) { return admit(Socket); });
  if (!error.empty()) {
    log(LogLevel::Error, "caller_front", "could not listen",
        {{"address", options.Address}, {"reason", error}});
    return false;
  }
  log(LogLevel::Info, "caller_front", "listening",
      {{"front", "callers"}, {"address", Server.address()}});
  return true;
}

void CallerListener::stop() {
  Stopping.store(true);
  Server.stopAccepting();
  {
    std::unique_lock lock(Mutex);
    Idle.wait_for(lock, LastResponseTimeout,
                  [this] { return ActiveRequests == 0; });
    for (int it : Sockets)
      ::shutdown(it, SHUT_RD);
  }
  Server.join();
}

void CallerListener::serve(int Fd) {
  {
    std::lock_guard lock(Mutex);
    Sockets.insert(Fd);
  }
  configureSocket(Fd);
  try {
    if (Stopping.load() || OpenConnections.load() > Values->MaxConnections) {
      rejectConnection(Fd);
    } else {
      CallerReader reader(Fd, Limits);
      bool cut = false;
      while (!Stopping.load() && serveOne(reader, Fd, cut)) {
      }
      if (!cut)
        reader.lingeringClose();
    }
  } catch (const std::exception &error) {
    log(LogLevel::Error, "caller_front", "connection ended by an exception",
        {{"reason", error.what()}});
  }
  std::lock_guard lock(Mutex);
  Sockets.erase(Fd);
  --OpenConnections;
}

// Reads the head first, because callers that are still sending lose a response
// that precedes the request.
void CallerListener::rejectConnection(int Fd) {
  ReadLimits limits = Limits;
  limits.IdleTimeout = RejectionReadTimeout;
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

void CallerListener::rejectUnreadable(RequestReadStatus Status,
                                      HttpSink &Sink) {
  ErrorKind kind = ErrorKind::BadRequest;
  std::string detail = "the head is not HTTP/1.1";
  if (Status == RequestReadStatus::TooLarge) {
    kind = ErrorKind::HeaderTooLarge;
    detail = "at most " + std::to_string(Limits.MaxHeaderFields) +
             " fields and " + std::to_string(MaxHeadBytes) + " bytes in all";
  } else if (Status == RequestReadStatus::TimedOut) {
    kind = ErrorKind::CallerTimeout;
    detail = "the head took too long";
  }
  Sink.closeAfterResponse();
  writeProblem(Sink, makeProblem(kind, detail, Events->nextRequestId()));
}

bool CallerListener::serveOne(CallerReader &Reader, int Fd, bool &Cut) {
  PendingRequest pending;
  RequestReadStatus status = Reader.readHead(pending.Head);
  if (status == RequestReadStatus::Closed)
    return false;
  HttpSinkOptions options;
  options.KeepAlive =
      status == RequestReadStatus::Ok && pending.Head.wantsKeepAlive();
  options.MayChunk = pending.Head.MinorVersion >= 1;
  options.HeadOnly = pending.Head.Method == "HEAD";
  options.WriteTimeout = Limits.IdleTimeout;
  HttpSink sink(Fd, options);
  if (status != RequestReadStatus::Ok) {
    rejectUnreadable(status, sink);
    return false;
  }
  if (!Events->ready())
    sink.closeAfterResponse(); // a draining instance closes its connections
  countActive(1);
  handle(pending, Reader, sink);
  countActive(-1);
  Cut = sink.needsReset();
  return sink.keepsAlive();
}

void CallerListener::countActive(int Change) {
  std::lock_guard lock(Mutex);
  ActiveRequests += static_cast<uint32_t>(Change);
  if (ActiveRequests == 0)
    Idle.notify_all();
}

void CallerListener::handle(PendingRequest &Pending, CallerReader &Reader,
                            HttpSink &Sink) {
  Pending.Id = Events->nextRequestId();
  Pending.Config = Events->config();
  std::string body;
  std::optional<RequestError> error = checkRoute(Pending);
  if (!error)
    error = authenticate(Pending);
  if (!error)
    error = checkKey(Pending);
  if (!error)
    error = readBody(Pending, Reader, Sink.watchedSocket(), body);
  Pending.BodyRead = !error;
  if (error) {
    // The body, or the rest of it, is still unread.
    if (Pending.Framing.Form != BodyForm::None)
      Sink.closeAfterResponse();
    log(LogLevel::Debug, "caller_front", "request rejected",
        {{"request", Pending.Id.str()},
         {"group", Pending.Group},
         {"kind", errorResponse(error->Kind).Name},
         {"config_version", std::to_string(Pending.Config->Version)}});
    writeProblem(Sink, makeProblem(error->Kind, error->Detail, Pending.Id));
    return;
  }
  if (Pending.Path.Kind == RouteKind::Ticket)
    sendTicket(Pending, Sink);
  else
    run(Pending, std::move(body), Sink);
}

std::optional<RequestError>
CallerListener::checkRoute(PendingRequest &Pending) const {
  if (!requestFraming(Pending.Head, Pending.Framing)) {
    // The end of the message is unknown, so the connection can't be kept.
    Pending.Framing.Form = BodyForm::UntilClose;
    return RequestError{ErrorKind::BadRequest,
                        "Content-Length or Transfer-Encoding is not usable"};
  }
  std::optional<Route> route = findRoute(Pending.Head.Target);
  if (!route)
    return RequestError{ErrorKind::NotFound, "there is nothing at this path"};
  Pending.Path = std::move(*route);
  if (Pending.Path.Kind != RouteKind::Service && Pending.Head.Method != "POST")
    return RequestError{ErrorKind::BadRequest, "this path takes POST"};
  return std::nullopt;
}

std::optional<RequestError>
CallerListener::authenticate(PendingRequest &Pending) const {
  if (Pending.Config->Version == 0)
    return RequestError{ErrorKind::NotReady, ""};
  const std::string *value = Pending.Head.find("Authorization");
  std::string token = value ? bearerToken(*value) : "";
  const GroupConfig *group =
      token.empty() ? nullptr
                    : Pending.Config->findGroupByTokenDigest(sha256Hex(token));
  if (!group)
    return RequestError{ErrorKind::Unauthorized, ""};
  if (!isAllowedIn(*group, Values->Region, Values->FailureDomain))
    return RequestError{ErrorKind::ResidencyViolation, ""};
  Pending.Group = group->Name;
  return std::nullopt;
}

std::optional<RequestError>
CallerListener::checkKey(PendingRequest &Pending) const {
  const std::string *key = Pending.Head.find("Idempotency-Key");
  if (!key)
    return std::nullopt;
  if (!isIdempotencyKey(*key) || Pending.Head.count("Idempotency-Key") != 1)
    return RequestError{ErrorKind::BadRequest,
                        "Idempotency-Key must be given once, as at most 128 "
                        "printable characters without spaces"};
  Pending.Key = *key;
  return std::nullopt;
}

std::optional<RequestError> CallerListener::readBody(PendingRequest &Pending,
                                                     CallerReader &Reader,
                                                     int Fd,
                                                     std::string &Body) const {
  const std::string *expect = Pending.Head.find("Expect");
  bool tooLarge = Pending.Framing.Form == BodyForm::Length &&
                  Pending.Framing.Length > Limits.MaxBodyBytes;
  if (expect && !tooLarge && Pending.Framing.Form != BodyForm::None &&
      strcasecmp(expect->c_str(), "100-continue") == 0) {
    const std::string interim = "HTTP/1.1 100 Continue\r\n\r\n";
    ::send(Fd, interim.data(), interim.size(), MSG_NOSIGNAL);
  }
  switch (Reader.readBody(Pending.Framing, Body)) {
  case RequestReadStatus::Ok:
    return std::nullopt;
  case RequestReadStatus::TooLarge:
    return RequestError{ErrorKind::BodyTooLarge,
                        "at most " + std::to_string(Limits.MaxBodyBytes) +
                            " bytes"};
  case RequestReadStatus::Malformed:
    return RequestError{ErrorKind::BadRequest,
                        "the chunks of the body are malformed"};
  case RequestReadStatus::Closed:
  case RequestReadStatus::TimedOut:
  case RequestReadStatus::NoRoom: // nothing is asked for room
    break;
  }
  return RequestError{ErrorKind::CallerTimeout,
                      "the body was not received in time"};
}

void CallerListener::run(PendingRequest &Pending, std::string Body,
                         HttpSink &Sink) {
  auto field = [&](const char *Name) {
    const std::string *value = Pending.Head.find(Name);
    return value ? *value : std::string();
  };
  RequestInput input;
  input.Method = Pending.Head.Method;
  input.Target = Pending.Head.Target;
  input.ContentType = field("Content-Type");
  input.Accept = field("Accept");
  input.Group = Pending.Group;
  input.IdempotencyKey = Pending.Key;
  input.Body = std::move(Body);
  boost::leaf::try_handle_all(
      [&]() -> boost::leaf::result<void> {
        BOOST_LEAF_AUTO(request,
                        parseCallerRequest(std::move(input), *Pending.Config));
        request.Id = Pending.Id;
        Relays->run(std::move(request), Sink);
        return {};
      },
      [&](const RequestError &Error) {
        writeProblem(Sink, makeProblem(Error.Kind, Error.Detail, Pending.Id));
      },
      [&] {
        writeProblem(Sink, makeProblem(ErrorKind::Internal, "", Pending.Id));
      });
}

void CallerListener::sendTicket(const PendingRequest &Pending, HttpSink &Sink) {
  std::string ticket = Events->ready() ? Events->makeTicket() : "";
  if (ticket.empty()) {
    writeProblem(Sink, makeProblem(ErrorKind::NotReady, "", Pending.Id));
    return;
  }
  ResponseHead head;
  head.ContentType = "application/json";
  writeResponse(Sink, head, "{\"ticket\":\"" + ticket + "\"}");
}

const PluginRegistration Registration{
    {"caller_front", Phase::Listeners,
     [] { return std::make_unique<CallerListener>(); }}};

} // namespace
} // namespace crocusspur::internal
