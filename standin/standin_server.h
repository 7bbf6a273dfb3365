// HTTP server shared by the stand-ins: one listening socket, one thread per
// connection, injected connection faults, and the lifetime of the process.
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
  std::string Path;  // decoded, without the query
  std::string Query; // as sent
  std::map<std::string, std::string> Parameters;
  std::map<std::string, std::string> Headers; // names in lower case
  std::string Body;
  int Descriptor = -1;     // of the connection, for direct writes
  uint64_t Connection = 0; // number of the accepted connection, from 1

  // Return the default if the parameter is absent or, for number(), isn't a
  // number.
  std::string text(const std::string &Name, const std::string &Default) const;
  double number(const std::string &Name, double Default) const;
  std::string header(const std::string &Name) const; // `Name` in lower case
};

struct Reply {
  int Status = 200;
  std::string ContentType = "application/json";
  std::string Body;
  std::vector<std::pair<std::string, std::string>> Headers;
  bool CloseConnection = false; // close the connection without a response
  bool Written = false; // the handler wrote the response to the descriptor
};

// Faults that affect whole connections. Thread-safe.
class ConnectionFaults {
public:
  // While frozen, connections are accepted and requests are read, but nothing
  // is written.
  void freeze(bool On);
  // Connections with numbers up to `Connection` write nothing from now on.
  void silenceUpTo(uint64_t Connection);
  void clear();

  bool isBlocked(uint64_t Connection) const;
  // Blocks until the connection may write; for a silenced one, until clear().
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

  // Binds the socket and blocks SIGTERM and SIGINT for the whole process, so it
  // must be created before any thread. Throws if the address can't be bound.
  explicit Server(ServerOptions Options);
  ~Server();

  std::string address() const; // IP:port
  ConnectionFaults &faults() { return Faults; }

  // Prints the line "listening IP:PORT" and passes calls to `Handle`, which
  // must be thread-safe. Ends the process with code 0 at SIGTERM, at SIGINT or
  // after the lifetime. Paths below /control/ bypass the faults; freeze,
  // silence and clear are handled here.
  void run(Handler Handle);

private:
  struct State;
  ServerOptions Options;
  ConnectionFaults Faults;
  std::unique_ptr<State> Impl;
};

// Returns the wall-clock time, so that logs of several processes can be
// compared.
int64_t wallMilliseconds();

} // namespace standin

#endif
