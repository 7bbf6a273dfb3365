// Request limits of backend servers, for all calls of this instance. All
// functions are thread-safe.
#ifndef CROCUSSPUR_GATEWAY_SERVER_LIMITS_H
#define CROCUSSPUR_GATEWAY_SERVER_LIMITS_H

#include "gateway/decisions/server_limit_table.h"

#include <atomic>
#include <mutex>
#include <string>
#include <vector>

namespace crocusspur::gateway {

// Requests per second as text, for logs.
std::string limitText(double PerSecond);

class ServerLimits {
public:
  explicit ServerLimits(std::string Instance) : Table(std::move(Instance)) {}

  // Records the head of a server's response to a call that was sent at
  // `SentAt`.
  void onResponse(const std::string &ServerId, const StatedLimit &Limit,
                  TimePoint SentAt);
  // The active limits, for logs and metrics.
  std::vector<ServerLimit> active() const;
  std::optional<ServerLimit> find(const std::string &ServerId) const;
  std::string dump() const; // the active limits as JSON

private:
  mutable std::mutex Mutex;
  ServerLimitTable Table;
  std::atomic<bool> Any{false}; // whether any limit is known
  TimePoint MalformedLoggedAt;
};

} // namespace crocusspur::gateway

#endif
