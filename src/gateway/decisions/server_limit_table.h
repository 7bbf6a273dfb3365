// Request limits that backend servers have stated, by server: requests per
// second that a server takes from all instances together. A limit is active
// until a later response of the server comes without one. Does no I/O; callers
// pass the time.
#ifndef CROCUSSPUR_GATEWAY_SERVER_LIMIT_TABLE_H
#define CROCUSSPUR_GATEWAY_SERVER_LIMIT_TABLE_H

#include "crocusspur/types.h"

#include <map>
#include <optional>
#include <string>
#include <vector>

namespace crocusspur::gateway {

// What a response states about the server's request limit.
struct StatedLimit {
  std::optional<double> PerSecond;
  bool Malformed = false; // at least one statement can't be parsed
};

// The latest statement that is known of a server.
struct ServerLimit {
  std::string ServerId;
  std::optional<double> PerSecond; // nothing: the limit was lifted
  Milliseconds Age{0};             // since an instance received it
  std::string Source;              // the instance that received it
};

class ServerLimitTable {
public:
  explicit ServerLimitTable(std::string Instance)
      : Instance(std::move(Instance)) {}

  // Records a response to a call that was sent at `SentAt`. Responses on
  // different connections may overtake each other, so one to an earlier call
  // than the latest known changes nothing unless it lowers the limit. Malformed
  // statements change nothing. Returns whether the limit has changed.
  bool onResponse(const std::string &ServerId, const StatedLimit &Limit,
                  TimePoint SentAt, TimePoint Now);
  // Adds what a peer knows. Returns whether the limit has changed.
  bool merge(const ServerLimit &Item, TimePoint Now);

  // The active limit of a server; nothing if there is none.
  std::optional<ServerLimit> find(const std::string &ServerId,
                                  TimePoint Now) const;
  // What is known of all servers, for peers; the latest ones if there are many.
  std::vector<ServerLimit> known(TimePoint Now) const;
  bool empty() const { return Limits.empty(); }
  // Drops what nobody has received for the retention time.
  void expire(TimePoint Now);

private:
  struct State {
    std::optional<double> PerSecond;
    TimePoint ReceivedAt;
    TimePoint SentAt; // of the call; that of the receipt if a peer reported it
    std::string Source;
  };

  using StateMap = std::map<std::string, State>;

  // Adds a server, in place of the oldest one if there are many.
  StateMap::iterator addServer(const std::string &ServerId);
  ServerLimit limitOf(const std::string &ServerId, const State &Item,
                      TimePoint Now) const;

  std::string Instance;
  StateMap Limits; // by server
};

} // namespace crocusspur::gateway

#endif
