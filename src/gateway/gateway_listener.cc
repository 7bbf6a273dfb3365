// Plug-in: serves callers' connections. Each has its own thread, which reads
// requests, finds their routes and handles them.
#include "caller_reader.h"
#include "checked_mutex.h"
#include "connection_server.h"
#include "crocusspur/kernel.h"
#include "gateway/decisions/connection_room.h"
#include "gateway/decisions/start_wait.h"
#include "gateway/gateway_runtime.h"
#include "gateway/memory_log.h"
#include "gateway/request_handler.h"
#include "http_sink.h"
#include "log.h"

#include <Poco/Net/StreamSocket.h>
#include <algorithm>
#include <atomic>
#include <boost/intrusive/list.hpp>
#include <mutex>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <optional>
#include <set>
#include <sys/socket.h>
#include <utility>

namespace crocusspur::gateway {
namespace {

using Clock = std::chrono::steady_clock;
using internal::CallerReader;
using internal::HttpHead;
using internal::HttpSink;
using internal::log;
using internal::LogLevel;
using internal::ReadLimits;
using internal::RequestReadStatus;
using Poco::Net::StreamSocket;

// The deepest call chain of a connection's thread needs about 50 KiB.
constexpr int StackBytes = 262144;
// A new thread takes long to start on a busy machine.
constexpr int MinThreads = 32;
constexpr int MaxQueued = 768; // connections that wait for a thread
constexpr int Backlog = 1024;
constexpr uint32_t MaxHeaderFields = 128;
// Within what counts for each connection.
constexpr size_t UnheldBodyBytes = 4096;
// A body is kept, in the buffer before too while it grows, and copied into the
// request to the server.
constexpr size_t BodyMemoryFactor = 3;
// A caller that reads nothing for this long is considered disconnected.
constexpr Milliseconds WriteTimeout{10000};
// Callers that retry immediately reach another instance.
constexpr Milliseconds OtherInstanceRetryAfter{100};
// Until this instance has received the configuration.
constexpr Milliseconds NotReadyRetryAfter{500};
constexpr Milliseconds ClosingPeriod{50}; // of the checks of idle connections
// Of the check for documents while requests wait for them.
constexpr Milliseconds DocumentsPollPeriod{10};

// A caller's connection, kept on the stack of its thread: no memory is
// allocated while the mutex is held, since a thread that waits for that stops
// all others.
struct CallerConnection {
  int Fd = -1;
  bool IsUsed = false;    // has sent a request
  bool Lingers = false;   // has had its last response
  bool IsRefused = false; // its request is refused, as there are too many
  TimePoint IdleSince;
  boost::intrusive::list_member_hook<> OpenHook;
  boost::intrusive::list_member_hook<> IdleHook;
};

template <boost::intrusive::list_member_hook<> CallerConnection::*Hook>
using ConnectionList = boost::intrusive::list<
    CallerConnection,
    boost::intrusive::member_hook<CallerConnection,
                                  boost::intrusive::list_member_hook<>, Hook>>;

class GatewayListener final : public Plugin {
public:
  bool start(Kernel &Owner) override;
  void prepareStop() override;
  void stop() override;
  // Serves one connection on its thread.
  void serve(int Fd);

private:
  using IdleList = ConnectionList<&CallerConnection::IdleHook>;

  ReadLimits limits() const;
  // Returns whether to keep the connection. Sets `Cut` if the response isn't
  // complete and only a reset shows that; see HttpSink::needsReset().
  bool serveOne(CallerReader &Reader, CallerConnection &Connection, bool &Cut);
  void add(CallerConnection &Connection);
  void remove(CallerConnection &Connection);
  void setIdle(CallerConnection &Connection, bool IsIdle);
  IdleList &idleList(const CallerConnection &Connection) {
    return Connection.Lingers  ? Lingering
           : Connection.IsUsed ? IdleUsed
                               : IdleUnused;
  }
  void setLingering(CallerConnection &Connection);
  void closeIdle();
  // Called for each connection that was accepted, before its thread serves it.
  void makeRoom(int NewFd);
  RoomAction makeRoomLocked(size_t Connections);
  void makeRoomForQueued();
  void endConnections();
  void handle(const HttpHead &Head, TimePoint Arrived, CallerReader &Reader,
              HttpSink &Sink);
  // `Hold` holds the memory for the body.
  bool readBody(const HttpHead &Head, CallerReader &Reader, HttpSink &Sink,
                CallerRequest &Request, MemoryHold &Hold);
  // Waits for routes and servers shortly after the start. Returns whether they
  // are known.
  bool awaitDocuments(const CallerRequest &Request, int Fd);
  void sendProblem(HttpSink &Sink, const std::string &Request, ErrorKind Kind,
                   const std::string &Why, Milliseconds RetryAfter);

  Kernel *Owner = nullptr;
  GatewayRuntime *Runtime = nullptr;
  std::optional<GatewayContext> Context;
  internal::ConnectionServer Server;
  internal::LeafMutex Mutex;
  ConnectionList<&CallerConnection::OpenHook> Open;
  // Waiting for a request, the longest first: after a response, and without
  // one so far.
  IdleList IdleUsed;
  IdleList IdleUnused;
  IdleList Lingering; // for the caller's close, the longest first
  // Accepted connections that are refused once their threads serve them.
  std::set<int> Refused;
  size_t MostConnections = 0;
  std::optional<StartWait> Start;
  uint64_t ClosingTimer = 0;
};

bool GatewayListener::start(Kernel &Owner) {
  this->Owner = &Owner;
  Runtime = Owner.find<GatewayRuntime>();
  auto *metrics = Owner.find<internal::MetricsSink>();
  if (!Runtime || !metrics)
    return false;
  Context.emplace(GatewayContext{
      Runtime->Codec, Runtime->Directory, Runtime->Limits, Runtime->Connections,
      Runtime->Queues, Runtime->Crashes, Runtime->Origins, Runtime->Quotas,
      *metrics, &Runtime->Forwarding, &Runtime->Access, &Runtime->Dispatch,
      &Runtime->Readers, &Runtime->Exiting, &Runtime->StreamRuns,
      &Runtime->Memory, &Runtime->Waiting});
  internal::ConnectionServerOptions options;
  options.Name = "callers";
  options.AroundAccept =
      acceptWatch(Runtime->Threads, "connections of callers");
  options.Address = Runtime->Values.CallerAddress;
  options.MinThreads = MinThreads;
  MostConnections = maxConnections(Runtime->Memory.limit());
  options.MaxThreads = static_cast<int>(MostConnections);
  options.MaxQueued = MaxQueued;
  options.Backlog = Backlog;
  options.StackBytes = StackBytes;
  Start.emplace(Clock::now());
  std::string fault = Server.start(
      options, [this](StreamSocket &Socket) { serve(Socket.impl()->sockfd()); },
      [this](const StreamSocket &Socket) {
        makeRoom(Socket.impl()->sockfd());
        return true;
      });
  if (!fault.empty()) {
    log(LogLevel::Error, "gateway_front", "could not listen",
        {{"address", options.Address}, {"reason", fault}});
    return false;
  }
  ClosingTimer = Owner.timers().every(ClosingPeriod, [this] {
    closeIdle();
    makeRoomForQueued();
  });
  return true;
}

void GatewayListener::prepareStop() {
  Owner->timers().cancel(ClosingTimer);
  Server.beginStop();
  Runtime->Exiting.store(true);
  endConnections();
}

// Only the reading side: the handlers stop, answer what has no answer yet, and
// their sinks decide how open responses end.
void GatewayListener::endConnections() {
  std::lock_guard lock(Mutex);
  for (const CallerConnection &it : Open)
    ::shutdown(it.Fd, SHUT_RD);
}

void GatewayListener::stop() {
  Server.stopAccepting();
  endConnections(); // those that were accepted meanwhile
  Server.join();
}

void GatewayListener::serve(int Fd) {
  CallerConnection connection;
  connection.Fd = Fd;
  MemoryHold hold(&Runtime->Memory, MemoryUse::RequestBody);
  hold.growAlwaysTo(ConnectionBytes);
  add(connection);
  struct Remover {
    GatewayListener &Owner;
    CallerConnection &Connection;
    ~Remover() { Owner.remove(Connection); }
  } remover{*this, connection};
  int one = 1;
  ::setsockopt(Fd, IPPROTO_TCP, TCP_NODELAY, &one, sizeof one);
  try {
    ReadLimits values = limits();
    CallerReader reader(Fd, values);
    bool cut = false;
    while (serveOne(reader, connection, cut))
      values = limits();
    // There is no response that a reset could destroy on an unused one.
    if (!cut && connection.IsUsed) {
      setLingering(connection);
      reader.lingeringClose();
    }
  } catch (const std::exception &error) {
    log(LogLevel::Error, "gateway_front", "connection failed",
        {{"reason", error.what()}});
  }
}

void GatewayListener::add(CallerConnection &Connection) {
  std::lock_guard lock(Mutex);
  Open.push_back(Connection);
  Connection.IsRefused = Refused.erase(Connection.Fd) > 0;
  if (Runtime->Exiting.load()) // after endConnections()
    ::shutdown(Connection.Fd, SHUT_RD);
}

void GatewayListener::remove(CallerConnection &Connection) {
  std::lock_guard lock(Mutex);
  Open.erase(Open.iterator_to(Connection));
  if (Connection.IdleHook.is_linked())
    idleList(Connection).erase(IdleList::s_iterator_to(Connection));
}

void GatewayListener::setIdle(CallerConnection &Connection, bool IsIdle) {
  std::lock_guard lock(Mutex);
  if (!IsIdle) {
    if (Connection.IdleHook.is_linked())
      idleList(Connection).erase(IdleList::s_iterator_to(Connection));
  } else if (Runtime->Closing.load()) {
    ::shutdown(Connection.Fd, SHUT_RD);
  } else {
    Connection.IdleSince = Clock::now();
    idleList(Connection).push_back(Connection);
  }
}

void GatewayListener::setLingering(CallerConnection &Connection) {
  std::lock_guard lock(Mutex);
  Connection.Lingers = true;
  Connection.IdleSince = Clock::now();
  Lingering.push_back(Connection);
}

// A request that has already arrived can still be read, and is refused.
void GatewayListener::closeIdle() {
  if (!Runtime->Closing.load())
    return;
  std::lock_guard lock(Mutex);
  for (IdleList *list : {&IdleUsed, &IdleUnused}) {
    for (const CallerConnection &it : *list)
      ::shutdown(it.Fd, SHUT_RD);
    list->clear();
  }
}

void GatewayListener::makeRoom(int NewFd) {
  // Also those whose threads haven't begun.
  size_t connections = Server.connections() + 1;
  RoomAction action = RoomAction::None;
  {
    std::lock_guard lock(Mutex);
    // Of a connection that was closed before a thread could serve it.
    Refused.erase(NewFd);
    action = makeRoomLocked(connections);
    if (action == RoomAction::RefuseNew)
      Refused.insert(NewFd);
  }
  if (action != RoomAction::None)
    log(LogLevel::Debug, "gateway_front",
        action == RoomAction::RefuseNew ? "refusing a new connection's request"
                                        : "closed an idle connection",
        {{"why", "too many connections"},
         {"connections", std::to_string(connections)},
         {"most", std::to_string(MostConnections)}});
}

RoomAction GatewayListener::makeRoomLocked(size_t Connections) {
  TimePoint now = Clock::now();
  auto longest = [now](const IdleList &List) -> std::optional<Milliseconds> {
    if (List.empty())
      return std::nullopt;
    return std::chrono::duration_cast<Milliseconds>(now -
                                                    List.front().IdleSince);
  };
  RoomAction action =
      makeRoomFor({Connections, MostConnections, longest(Lingering),
                   longest(IdleUsed), longest(IdleUnused)});
  if (action == RoomAction::None || action == RoomAction::RefuseNew)
    return action;
  IdleList &list = action == RoomAction::EndLinger   ? Lingering
                   : action == RoomAction::CloseUsed ? IdleUsed
                                                     : IdleUnused;
  // A request that has already arrived can still be read.
  ::shutdown(list.front().Fd, SHUT_RD);
  list.pop_front();
  return action;
}

// Connections that wait for a thread would wait as long as idle ones keep all
// of them.
void GatewayListener::makeRoomForQueued() {
  size_t connections = Server.connections();
  if (connections <= MostConnections)
    return;
  std::lock_guard lock(Mutex);
  RoomAction action = RoomAction::None;
  do
    action = makeRoomLocked(connections--);
  while (action != RoomAction::None && action != RoomAction::RefuseNew);
}

ReadLimits GatewayListener::limits() const {
  RequestLimits bounds = Runtime->Directory.routes()->Limits;
  ReadLimits values;
  values.MaxHeaderFields = MaxHeaderFields;
  values.MaxBodyBytes = bounds.MaxBodyBytes;
  values.MaxHeadBytes = bounds.MaxHeaderBytes;
  values.IdleTimeout = bounds.IdleTimeout;
  values.HeadTimeout = bounds.HeaderTimeout;
  return values;
}

void GatewayListener::sendProblem(HttpSink &Sink, const std::string &Request,
                                  ErrorKind Kind, const std::string &Why,
                                  Milliseconds RetryAfter) {
  std::optional<Milliseconds> confirmed = Runtime->Readers.confirmedAgo();
  log(LogLevel::Info, "gateway_front", "request rejected",
      {{"request", Request},
       {"kind", errorResponse(Kind).Name},
       {"why", Why},
       {"config_version", std::to_string(Runtime->Directory.routes()->Version)},
       {"confirmed_ago_ms",
        confirmed ? std::to_string(confirmed->count()) : ""}});
  internal::Problem item = internal::makeProblem(Kind, Why, RequestId());
  item.RetryAfter = RetryAfter;
  writeProblem(Sink, item);
}

bool GatewayListener::serveOne(CallerReader &Reader,
                               CallerConnection &Connection, bool &Cut) {
  HttpHead head;
  setIdle(Connection, true);
  RequestReadStatus verdict = Reader.readHead(head);
  setIdle(Connection, false);
  if (verdict == RequestReadStatus::Closed)
    return false;
  Connection.IsUsed = true;
  internal::HttpSinkOptions options;
  options.KeepAlive = verdict == RequestReadStatus::Ok && head.wantsKeepAlive();
  options.MayChunk = head.MinorVersion >= 1;
  options.HeadOnly = head.Method == "HEAD";
  options.WriteTimeout = WriteTimeout;
  HttpSink sink(Connection.Fd, options);
  if (verdict != RequestReadStatus::Ok) {
    sink.closeAfterResponse();
    sendProblem(
        sink, "",
        verdict == RequestReadStatus::TooLarge   ? ErrorKind::HeaderTooLarge
        : verdict == RequestReadStatus::TimedOut ? ErrorKind::CallerTimeout
                                                 : ErrorKind::BadRequest,
        "the head could not be read", Milliseconds(0));
    return false;
  }
  if (Connection.IsRefused) {
    sink.closeAfterResponse();
    sendProblem(sink, Runtime->Codec.ParseRequestHead(head).Id,
                ErrorKind::Overloaded, "too many connections",
                OtherInstanceRetryAfter);
    return false;
  }
  if (Runtime->Stopping.load())
    sink.closeAfterResponse();
  ++Runtime->OpenRequests;
  handle(head, Clock::now(), Reader, sink);
  --Runtime->OpenRequests;
  Cut = sink.needsReset();
  return sink.keepsAlive() && !Runtime->Stopping.load();
}

// Returns false, after sending an error response, if the body can't be read.
bool GatewayListener::readBody(const HttpHead &Head, CallerReader &Reader,
                               HttpSink &Sink, CallerRequest &Request,
                               MemoryHold &Hold) {
  internal::BodyFraming framing;
  if (!requestFraming(Head, framing)) {
    Sink.closeAfterResponse();
    sendProblem(Sink, Request.Id, ErrorKind::BadRequest,
                "the body's length is unclear", Milliseconds(0));
    return false;
  }
  auto hasRoom = [&](size_t Bytes) {
    if (Bytes <= UnheldBodyBytes || Hold.growTo(Bytes * BodyMemoryFactor))
      return true;
    logMemoryRefused(&Runtime->Memory, MemoryUse::RequestBody, "a caller");
    return false;
  };
  auto refuse = [&] {
    Sink.closeAfterResponse();
    sendProblem(Sink, Request.Id, ErrorKind::Overloaded,
                "no memory for the body", OtherInstanceRetryAfter);
    return false;
  };
  // Before the caller is told to go on.
  if (framing.Form == internal::BodyForm::Length &&
      framing.Length <= limits().MaxBodyBytes && !hasRoom(framing.Length))
    return refuse();
  const std::string *expect = Head.find("Expect");
  if (expect && framing.Form != internal::BodyForm::None) {
    const std::string interim = "HTTP/1.1 100 Continue\r\n\r\n";
    ::send(Sink.watchedSocket(), interim.data(), interim.size(), MSG_NOSIGNAL);
  }
  RequestReadStatus verdict = Reader.readBody(framing, Request.Body, hasRoom);
  if (verdict == RequestReadStatus::Ok)
    return true;
  if (verdict == RequestReadStatus::NoRoom)
    return refuse();
  Sink.closeAfterResponse();
  if (verdict != RequestReadStatus::Closed)
    sendProblem(Sink, Request.Id,
                verdict == RequestReadStatus::TooLarge ? ErrorKind::BodyTooLarge
                : verdict == RequestReadStatus::TimedOut
                    ? ErrorKind::CallerTimeout
                    : ErrorKind::BadRequest,
                "the body could not be read", Milliseconds(0));
  return false;
}

bool GatewayListener::awaitDocuments(const CallerRequest &Request, int Fd) {
  TimePoint started = Clock::now();
  std::optional<TimePoint> until;
  {
    std::lock_guard lock(Mutex);
    until = Start->join(Request.TimeLeft, started);
  }
  if (!until)
    return false;
  CallerWaiter waiter(Fd, *until);
  while (!Runtime->Directory.isComplete() && !waiter.pastDeadline() &&
         !waiter.callerLeft() && !Runtime->Stopping.load())
    waiter.pause(DocumentsPollPeriod);
  bool complete = Runtime->Directory.isComplete();
  {
    std::lock_guard lock(Mutex);
    Start->leave();
  }
  auto waited =
      std::chrono::duration_cast<Milliseconds>(Clock::now() - started);
  log(LogLevel::Info, "gateway_front", "request waited for routes and servers",
      {{"request", Request.Id},
       {"waited_ms", std::to_string(waited.count())},
       {"outcome", complete ? "handled" : "rejected"}});
  return complete;
}

void GatewayListener::handle(const HttpHead &Head, TimePoint Arrived,
                             CallerReader &Reader, HttpSink &Sink) {
  CallerRequest request = Runtime->Codec.ParseRequestHead(Head);
  MemoryHold hold(&Runtime->Memory, MemoryUse::RequestBody);
  if (!readBody(Head, Reader, Sink, request, hold))
    return;
  if (!Runtime->Directory.isComplete() &&
      !awaitDocuments(request, Sink.watchedSocket())) {
    sendProblem(Sink, request.Id, ErrorKind::NotReady,
                "routes or servers unknown", NotReadyRetryAfter);
    return;
  }
  RouteDocumentPtr document = Runtime->Directory.routes();
  const PathRoute *route = findRoute(*document, request.Host, request.Target);
  if (!route) {
    sendProblem(Sink, request.Id, ErrorKind::NotFound, "no route matches",
                Milliseconds(0));
    return;
  }
  if (!route->Supported) {
    sendProblem(Sink, request.Id, ErrorKind::NotReady,
                "this instance doesn't support the route's type",
                NotReadyRetryAfter);
    return;
  }
  AccessVerdict verdict = Runtime->Access.check(request, *document, *route);
  if (verdict != AccessVerdict::Granted) {
    bool later = mayBeGrantedLater(verdict);
    sendProblem(
        Sink, request.Id, later ? ErrorKind::NotReady : ErrorKind::Unauthorized,
        reasonOf(verdict), later ? NotReadyRetryAfter : Milliseconds(0));
    return;
  }
  TimePoint deadline =
      Arrived +
      std::min(route->Timeout, request.TimeLeft.value_or(route->Timeout));
  if (Runtime->Stopping.load() &&
      (Runtime->Closing.load() ||
       !Runtime->Shutdown.accepts(deadline, Clock::now()))) {
    sendProblem(Sink, request.Id, ErrorKind::ShuttingDown,
                "the request would outlast this instance",
                OtherInstanceRetryAfter);
    return;
  }
  RequestHandler(*Context, document, *route, std::move(request), Sink, Arrived)
      .run();
}

const PluginRegistration Registration{
    {"gateway_front", Phase::Listeners,
     [] { return std::make_unique<GatewayListener>(); }, Program::Gateway}};

} // namespace
} // namespace crocusspur::gateway
