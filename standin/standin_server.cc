#include "standin_server.h"

#include <Poco/Exception.h>
#include <Poco/Net/HTTPRequestHandler.h>
#include <Poco/Net/HTTPRequestHandlerFactory.h>
#include <Poco/Net/HTTPServerConnection.h>
#include <Poco/Net/HTTPServerParams.h>
#include <Poco/Net/HTTPServerRequestImpl.h>
#include <Poco/Net/HTTPServerResponse.h>
#include <Poco/Net/ServerSocket.h>
#include <Poco/Net/TCPServer.h>
#include <Poco/Net/TCPServerConnectionFactory.h>
#include <Poco/StreamCopier.h>
#include <Poco/String.h>
#include <Poco/ThreadPool.h>
#include <Poco/URI.h>
#include <atomic>
#include <csignal>
#include <cstdio>
#include <cstdlib>

namespace standin {
namespace {

// One thread per connection; a benchmark opens about 2,000 connections.
constexpr int MaxThreads = 8192;
constexpr int StackBytes = 256 * 1024;

std::atomic<uint64_t> LastConnection{0};
// Number of the connection that the current thread serves.
thread_local uint64_t CurrentConnection = 0;

using HandlerFunction = std::function<void(const Call &, Reply &)>;

Call readCall(Poco::Net::HTTPServerRequest &Request) {
  Call call;
  call.Method = Request.getMethod();
  Poco::URI uri(Request.getURI());
  call.Path = uri.getPath();
  call.Query = uri.getRawQuery();
  for (const auto &it : uri.getQueryParameters())
    call.Parameters[it.first] = it.second;
  for (const auto &it : Request)
    call.Headers[Poco::toLower(it.first)] = it.second;
  // Without a length, POCO would read until the connection closes.
  if (Request.hasContentLength() || Request.getChunkedTransferEncoding())
    Poco::StreamCopier::copyToString(Request.stream(), call.Body);
  auto &impl = dynamic_cast<Poco::Net::HTTPServerRequestImpl &>(Request);
  call.Descriptor = static_cast<int>(impl.socket().impl()->sockfd());
  call.Connection = CurrentConnection;
  return call;
}

void writeReply(const Reply &Reply, Poco::Net::HTTPServerResponse &Response) {
  Response.setStatus(
      static_cast<Poco::Net::HTTPResponse::HTTPStatus>(Reply.Status));
  Response.setReason(
      Poco::Net::HTTPResponse::getReasonForStatus(Response.getStatus()));
  for (const auto &it : Reply.Headers)
    Response.set(it.first, it.second);
  if (Reply.Status == 304) {
    Response.setContentLength(0);
    Response.send();
    return;
  }
  Response.setContentType(Reply.ContentType);
  Response.sendBuffer(Reply.Body.data(), Reply.Body.size());
}

class CallHandler : public Poco::Net::HTTPRequestHandler {
public:
  CallHandler(const HandlerFunction &Handle, ConnectionFaults &Faults)
      : Handle(Handle), Faults(Faults) {}

  void handleRequest(Poco::Net::HTTPServerRequest &Request,
                     Poco::Net::HTTPServerResponse &Response) override {
    Call call = readCall(Request);
    bool control = call.Path.rfind("/control/", 0) == 0;
    if (!control)
      Faults.waitWhileBlocked(call.Connection);
    Reply reply;
    try {
      Handle(call, reply);
    } catch (const Poco::Exception &failure) {
      reply = Reply{};
      reply.Status = 400;
      reply.ContentType = "text/plain";
      reply.Body = failure.displayText() + "\n";
    }
    if (!control)
      Faults.waitWhileBlocked(call.Connection);
    if (reply.CloseConnection)
      Response.setKeepAlive(false);
    else if (!reply.Written)
      writeReply(reply, Response);
  }

private:
  const HandlerFunction &Handle;
  ConnectionFaults &Faults;
};

class HandlerFactory : public Poco::Net::HTTPRequestHandlerFactory {
public:
  HandlerFactory(HandlerFunction Handle, ConnectionFaults &Faults)
      : Handle(std::move(Handle)), Faults(Faults) {}

  Poco::Net::HTTPRequestHandler *
  createRequestHandler(const Poco::Net::HTTPServerRequest &) override {
    return new CallHandler(Handle, Faults);
  }

private:
  HandlerFunction Handle;
  ConnectionFaults &Faults;
};

class NumberedConnection : public Poco::Net::HTTPServerConnection {
public:
  using Poco::Net::HTTPServerConnection::HTTPServerConnection;

  void run() override {
    CurrentConnection = ++LastConnection;
    Poco::Net::HTTPServerConnection::run();
  }
};

class ConnectionFactory : public Poco::Net::TCPServerConnectionFactory {
public:
  ConnectionFactory(Poco::Net::HTTPServerParams::Ptr Params,
                    Poco::Net::HTTPRequestHandlerFactory::Ptr Handlers)
      : Params(std::move(Params)), Handlers(std::move(Handlers)) {}

  Poco::Net::TCPServerConnection *
  createConnection(const Poco::Net::StreamSocket &Socket) override {
    return new NumberedConnection(Socket, Params, Handlers);
  }

private:
  Poco::Net::HTTPServerParams::Ptr Params;
  Poco::Net::HTTPRequestHandlerFactory::Ptr Handlers;
};

Poco::Net::HTTPServerParams::Ptr serverParams() {
  Poco::Net::HTTPServerParams::Ptr params = new Poco::Net::HTTPServerParams;
  params->setMaxThreads(MaxThreads);
  params->setMaxQueued(MaxThreads);
  params->setKeepAlive(true);
  params->setMaxKeepAliveRequests(0);
  // Longer than any client keeps an idle connection, so that the server never
  // closes a connection while a request is on its way.
  params->setKeepAliveTimeout(Poco::Timespan(120, 0));
  params->setTimeout(Poco::Timespan(600, 0));
  return params;
}

sigset_t terminationSignals() {
  sigset_t set;
  sigemptyset(&set);
  sigaddset(&set, SIGTERM);
  sigaddset(&set, SIGINT);
  return set;
}

bool handleCommonControl(const Call &Call, Reply &Reply,
                         ConnectionFaults &Faults) {
  if (Call.Path == "/control/freeze")
    Faults.freeze(Call.number("on", 1) != 0);
  else if (Call.Path == "/control/silence")
    Faults.silenceUpTo(LastConnection);
  else if (Call.Path == "/control/clear")
    Faults.clear();
  else
    return false;
  Reply.Body = "{}";
  return true;
}

} // namespace

std::string Call::text(const std::string &Name,
                       const std::string &Default) const {
  auto it = Parameters.find(Name);
  return it == Parameters.end() ? Default : it->second;
}

double Call::number(const std::string &Name, double Default) const {
  auto it = Parameters.find(Name);
  if (it == Parameters.end())
    return Default;
  char *end = nullptr;
  double value = std::strtod(it->second.c_str(), &end);
  return end == it->second.c_str() ? Default : value;
}

std::string Call::header(const std::string &Name) const {
  auto it = Headers.find(Name);
  return it == Headers.end() ? "" : it->second;
}

void ConnectionFaults::freeze(bool On) {
  std::lock_guard lock(Mutex);
  Frozen = On;
  Changed.notify_all();
}

void ConnectionFaults::silenceUpTo(uint64_t Connection) {
  std::lock_guard lock(Mutex);
  SilentUpTo = Connection;
}

void ConnectionFaults::clear() {
  std::lock_guard lock(Mutex);
  Frozen = false;
  SilentUpTo = 0;
  Changed.notify_all();
}

bool ConnectionFaults::isBlockedLocked(uint64_t Connection) const {
  return Frozen || Connection <= SilentUpTo;
}

bool ConnectionFaults::isBlocked(uint64_t Connection) const {
  std::lock_guard lock(Mutex);
  return isBlockedLocked(Connection);
}

void ConnectionFaults::waitWhileBlocked(uint64_t Connection) {
  std::unique_lock lock(Mutex);
  Changed.wait(lock, [&] { return !isBlockedLocked(Connection); });
}

struct Server::State {
  explicit State(const Poco::Net::SocketAddress &Address)
      : Socket(Address, 1024), Threads(16, MaxThreads, 60, StackBytes) {}
  Poco::Net::ServerSocket Socket;
  Poco::ThreadPool Threads;
};

Server::Server(ServerOptions Options) : Options(std::move(Options)) {
  sigset_t set = terminationSignals();
  pthread_sigmask(SIG_BLOCK, &set, nullptr);
  std::signal(SIGPIPE, SIG_IGN);
  Impl = std::make_unique<State>(
      Poco::Net::SocketAddress(this->Options.Address, this->Options.Port));
}

Server::~Server() = default;

std::string Server::address() const {
  return Impl->Socket.address().toString();
}

void Server::run(Handler Handle) {
  auto params = serverParams();
  auto handle = [this, inner = std::move(Handle)](const Call &Call,
                                                  Reply &Reply) {
    if (!handleCommonControl(Call, Reply, Faults))
      inner(Call, Reply);
  };
  Poco::Net::TCPServer server(
      new ConnectionFactory(params, new HandlerFactory(handle, Faults)),
      Impl->Threads, Impl->Socket, params);
  server.start();
  std::printf("listening %s\n", address().c_str());
  std::fflush(stdout);
  sigset_t set = terminationSignals();
  timespec limit{static_cast<time_t>(Options.LifetimeSeconds), 0};
  sigtimedwait(&set, nullptr, &limit);
  // A fault may block calls indefinitely, so threads aren't joined.
  std::_Exit(0);
}

int64_t wallMilliseconds() {
  return std::chrono::duration_cast<std::chrono::milliseconds>(
             std::chrono::system_clock::now().time_since_epoch())
      .count();
}

} // namespace standin
