// HTTP scaffolding that the stand-ins share: one listening socket, one thread
// per connection, faults of the whole server, and the life of the process.
#ifndef STANDIN_STANDIN_SERVER_H
#define STANDIN_STANDIN_SERVER_H

#include <chrono>
#include <condition_variable>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <utility>
#include <vector>

namespace standin {

struct Call {
  std::string Method;
  std::string Path;  // without the query, decoded
  std::string Query; // as sent
  std::map<std::string, std::string> Parameters;
  std::map<std::string, std::string> Headers; // names in lower case
  std::string Body;
  int Descriptor = -1;     // of the connection, for answers written by hand
  uint64_t Connection = 0; // counts accepted connections from 1

  // Return the default if the parameter is absent or not a number.
  std::string text(const std::string &Name, const std::string &Default) const;
  double number(const std::string &Name, double Default) const;
  std::string header(const std::string &Name) const; // lower case
};

struct Reply {
  int Status = 200;
  std::string ContentType = "application/json";
  std::string Body;
  std::vector<std::pair<std::string, std::string>> Headers;
  bool CloseConnection = false; // close the connection without an answer
  bool Written = false; // the handler wrote the answer to the descriptor
};

// Faults that hit whole connections. Thread-safe.
class ConnectionFaults {
public:
  // While frozen, connections are accepted and requests read, but nothing is
  // written.
  void freeze(bool On);
  // Connections numbered up to `Connection` write nothing from now on.
  void silenceUpTo(uint64_t Connection);
  void clear();

  bool isBlocked(uint64_t Connection) const;
  // Returns when the connection may write; for a silenced one, after clear().
  void waitWhileBlocked(uint64_t Connection);

private:
  bool isBlockedLocked(uint64_t Connection) const;

  mutable std::mutex Mutex;
  std::condition_variable Changed;
  bool Frozen = false;
  uint64_t SilentUpTo = 0;
};

struct ServerOptions {
  std::string Address = "127.0.0.1";
  uint16_t Port = 0; // 0: chosen by the kernel
  uint32_t LifetimeSeconds = 600;
};

class Server {
public:
  using Handler = std::function<void(const Call &, Reply &)>;

  // Binds the socket and blocks SIGTERM and SIGINT for the whole process, so
  // create it before any thread. Throws if the address can't be bound.
  explicit Server(ServerOptions Options);
  ~Server();

  std::string address() const; // IP:port
  ConnectionFaults &faults() { return Faults; }

  // Answers calls with `Answer`, which must be thread-safe, prints the line
  // "listening IP:PORT" and returns at SIGTERM, SIGINT or the end of the
  // lifetime. Paths below /control/ bypass the faults; freeze, silence and
  // clear are handled here.
  void run(Handler Handle);

private:
  struct State;
  ServerOptions Options;
  ConnectionFaults Faults;
  std::unique_ptr<State> Impl;
};

// Wall clock, so that books of several processes can be compared.
int64_t wallMilliseconds();

} // namespace standin

#endif
