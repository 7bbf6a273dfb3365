// Whether a server looks full: it would refuse one more request. Does no I/O;
// callers pass the time.
//
// Intended for servers that 60 to 400 instances share, whose load reports come
// with their responses and are some hundred milliseconds old.
#ifndef CROCUSSPUR_GATEWAY_SERVER_FULLNESS_H
#define CROCUSSPUR_GATEWAY_SERVER_FULLNESS_H

#include "crocusspur/types.h"

#include <cstdint>
#include <optional>

namespace crocusspur::gateway {

class ServerFullness {
public:
  // The server refused a request as full.
  void onRefused(TimePoint Now);
  void onSucceeded() { Refusals = 0; }
  // `Requests`: that run or wait at the server, as it reports with a response.
  void onReport(uint32_t Requests, TimePoint Now);

  // `OwnCalls`: of this instance that are open.
  bool isFull(uint32_t OwnCalls, TimePoint Now) const;

private:
  uint32_t Refusals = 0; // since the latest success
  TimePoint FullUntil;   // as far as refusals show
  uint32_t Reported = 0;
  TimePoint ReportedAt;
  // Requests that were at the server when it refused one; the fewest seen.
  std::optional<uint32_t> Limit;
};

} // namespace crocusspur::gateway

#endif
