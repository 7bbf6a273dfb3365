#include "connection_server.h"

#include "checked_mutex.h"
#include "log.h"

#include <Poco/Event.h>
#include <Poco/Exception.h>
#include <Poco/Net/ServerSocket.h>
#include <Poco/Net/StreamSocket.h>
#include <Poco/Thread.h>
#include <atomic>
#include <boost/intrusive/list.hpp>
#include <deque>
#include <list>
#include <mutex>
#include <optional>
#include <utility>

namespace crocusspur::internal {
namespace {

using Poco::Net::StreamSocket;

constexpr Milliseconds ThreadIdleTime{60000};
// How soon the acceptor notices that it is to stop.
constexpr Milliseconds AcceptPeriod{250};
// After a failure to accept, such as for lack of file descriptors.
constexpr Milliseconds AcceptRetryDelay{10};

struct Worker {
  boost::intrusive::list_member_hook<> IdleHook;
  Poco::Thread Thread;
  Poco::Event Wake;
  std::optional<StreamSocket> Next; // connection to handle, set before a wake
  bool IsBusy = false;              // counted in Connections
  std::list<Worker>::iterator Place;
};

using IdleWorkers = boost::intrusive::list<
    Worker,
    boost::intrusive::member_hook<Worker, boost::intrusive::list_member_hook<>,
                                  &Worker::IdleHook>>;

} // namespace

struct ConnectionServer::State {
  ConnectionServerOptions Options;
  Handler OnConnection;
  AcceptFilter ShouldAccept;
  std::optional<Poco::Net::ServerSocket> Socket;
  std::optional<Poco::Thread> Acceptor;
  std::atomic<bool> AcceptorStops{false};
  std::atomic<size_t> Connections{0};
  LeafMutex Mutex;
  bool Stopped = false; // no thread waits for connections any more
  ConditionVariable AllEnded;
  std::list<Worker> Workers;
  std::list<Worker> Ended;        // threads that are still to be joined
  IdleWorkers Idle;               // the last used first, so that others end
  std::deque<StreamSocket> Queue; // connections that wait for a thread

  void acceptAll();
  void acceptOne();
  void assign(const StreamSocket &Connection);
  Worker &addWorker();
  void startWorker(Worker &Item);
  void run(Worker &Self);
  void handle(StreamSocket &Connection);
  // Returns false if the thread is to end. `Former` gets those that ended
  // before, which it is to join.
  bool awaitNext(Worker &Self, std::list<Worker> &Former);
  void retire(Worker &Self, std::list<Worker> &Former);
};

void ConnectionServer::State::acceptAll() {
  const Poco::Timespan period(std::chrono::microseconds(AcceptPeriod).count());
  while (!AcceptorStops.load()) {
    try {
      if (!Socket->poll(period, Poco::Net::Socket::SELECT_READ))
        continue;
      if (Options.AroundAccept)
        Options.AroundAccept([this] { acceptOne(); });
      else
        acceptOne();
    } catch (...) { // also for lack of memory: an acceptor that ends is worse
      Poco::Thread::sleep(AcceptRetryDelay.count());
    }
  }
}

void ConnectionServer::State::acceptOne() {
  StreamSocket connection = Socket->acceptConnection();
  if (ShouldAccept && !ShouldAccept(connection))
    return;
  connection.setNoDelay(true);
  assign(connection);
}

// No thread is started while the mutex is held, and none that gets a connection
// needs the mutex: on a busy machine all would wait for each other.
void ConnectionServer::State::assign(const StreamSocket &Connection) {
  Worker *chosen = nullptr;
  bool isNew = false;
  {
    std::lock_guard lock(Mutex);
    if (!Idle.empty()) {
      chosen = &Idle.front();
      Idle.pop_front();
    } else if (Workers.size() < static_cast<size_t>(Options.MaxThreads)) {
      chosen = &addWorker();
      isNew = true;
    } else if (Queue.size() < static_cast<size_t>(Options.MaxQueued)) {
      Queue.push_back(Connection);
      ++Connections;
    }
  }
  if (!chosen)
    return;
  ++Connections;
  chosen->Next = Connection;
  if (!isNew) {
    chosen->Wake.set();
    return;
  }
  try {
    startWorker(*chosen);
  } catch (const Poco::Exception &) {
    // No further thread can be started, so that the connection waits for one.
    std::lock_guard lock(Mutex);
    if (Idle.empty()) {
      Queue.push_back(Connection);
      return;
    }
    Worker &it = Idle.front();
    Idle.pop_front();
    it.Next = Connection;
    it.Wake.set();
  }
}

Worker &ConnectionServer::State::addWorker() {
  Worker &it = Workers.emplace_back();
  it.Place = std::prev(Workers.end());
  return it;
}

// Doesn't wait until the thread runs: the connections behind its own would
// wait too.
void ConnectionServer::State::startWorker(Worker &Item) {
  try {
    Item.Thread.setName(Options.Name);
    Item.Thread.setStackSize(Options.StackBytes);
    Item.Thread.startFunc([this, &Item] { run(Item); });
  } catch (...) {
    std::lock_guard lock(Mutex);
    Workers.erase(Item.Place);
    throw;
  }
}

void ConnectionServer::State::run(Worker &Self) {
  std::list<Worker> former;
  do {
    if (!Self.Next)
      continue;
    Self.IsBusy = true;
    handle(*Self.Next);
    Self.Next.reset(); // closes it
  } while (awaitNext(Self, former));
  for (Worker &it : former)
    it.Thread.join();
}

// A handler must not throw, but one that does mustn't take the thread along.
void ConnectionServer::State::handle(StreamSocket &Connection) {
  try {
    OnConnection(Connection);
  } catch (const std::exception &error) {
    log(LogLevel::Error, "connection_server", "connection failed",
        {{"listener", Options.Name}, {"reason", error.what()}});
  }
}

bool ConnectionServer::State::awaitNext(Worker &Self,
                                        std::list<Worker> &Former) {
  {
    std::lock_guard lock(Mutex);
    // With the mutex held, so that a connection that no longer counts has left
    // its thread free for the next one.
    if (std::exchange(Self.IsBusy, false))
      --Connections;
    if (Stopped) {
      retire(Self, Former);
      return false;
    }
    if (!Queue.empty()) {
      Self.Next = Queue.front();
      Queue.pop_front();
      return true;
    }
    Idle.push_front(Self);
  }
  while (!Self.Wake.tryWait(ThreadIdleTime.count())) {
    std::lock_guard lock(Mutex);
    // One that isn't listed any more is about to be woken.
    if (Self.IdleHook.is_linked() &&
        Workers.size() > static_cast<size_t>(Options.MinThreads)) {
      Idle.erase(Idle.iterator_to(Self));
      retire(Self, Former);
      return false;
    }
  }
  if (Self.Next)
    return true;
  std::lock_guard lock(Mutex);
  retire(Self, Former);
  return false;
}

// With the mutex held in which the end was decided, so that no more than the
// surplus threads end, and none while a connection is queued.
void ConnectionServer::State::retire(Worker &Self, std::list<Worker> &Former) {
  if (!Stopped) // else join() joins them
    Former.swap(Ended);
  Ended.splice(Ended.end(), Workers, Self.Place);
  AllEnded.notify_all();
}

ConnectionServer::ConnectionServer() : Impl(std::make_unique<State>()) {}

ConnectionServer::~ConnectionServer() {
  stopAccepting();
  join();
}

std::string ConnectionServer::start(const ConnectionServerOptions &Options,
                                    Handler OnConnection,
                                    AcceptFilter ShouldAccept) {
  Impl->Options = Options;
  Impl->OnConnection = std::move(OnConnection);
  Impl->ShouldAccept = std::move(ShouldAccept);
  try {
    Impl->Socket.emplace();
    // No SO_REUSEPORT: a second process could listen too, and either would get
    // only some of the connections, unread ones while it stops.
    Impl->Socket->bind(Poco::Net::SocketAddress(Options.Address), true, false);
    Impl->Socket->listen(Options.Backlog);
    for (int i = 0; i < Options.MinThreads; ++i) {
      Worker *added = nullptr;
      {
        std::lock_guard lock(Impl->Mutex);
        added = &Impl->addWorker();
      }
      Impl->startWorker(*added);
    }
    Impl->Acceptor.emplace(Options.Name);
    Impl->Acceptor->startFunc([this] { Impl->acceptAll(); });
  } catch (const Poco::Exception &error) {
    Impl->Acceptor.reset();
    stopAccepting();
    join();
    return error.displayText();
  }
  return "";
}

std::string ConnectionServer::address() const {
  return Impl->Socket ? Impl->Socket->address().toString() : "";
}

size_t ConnectionServer::connections() const {
  return Impl->Connections.load();
}

void ConnectionServer::beginStop() { Impl->AcceptorStops.store(true); }

// What was accepted until the acceptor ended still gets its thread.
void ConnectionServer::stopAccepting() {
  beginStop();
  if (Impl->Acceptor)
    Impl->Acceptor->join();
  Impl->Acceptor.reset();
  std::deque<StreamSocket> unserved;
  std::lock_guard lock(Impl->Mutex);
  Impl->Stopped = true;
  unserved.swap(Impl->Queue);
  Impl->Connections -= unserved.size();
  while (!Impl->Idle.empty()) {
    Worker &it = Impl->Idle.front();
    Impl->Idle.pop_front();
    it.Wake.set();
  }
}

void ConnectionServer::join() {
  std::list<Worker> joinable;
  {
    std::unique_lock lock(Impl->Mutex);
    Impl->AllEnded.wait(lock, [this] { return Impl->Workers.empty(); });
    joinable.swap(Impl->Ended);
  }
  for (Worker &it : joinable)
    it.Thread.join();
  Impl->Socket.reset();
}

} // namespace crocusspur::internal
