// Asks a server, after the end of an answer that has neither a length nor
// chunks, whether the process that sent it still lives.
#ifndef CROCUSSPUR_GATEWAY_SENDER_INQUIRY_H
#define CROCUSSPUR_GATEWAY_SENDER_INQUIRY_H

#include "gateway/decisions/streams/sender_state.h"
#include "gateway/gateway_context.h"

#include <memory>
#include <optional>
#include <vector>

namespace crocusspur::gateway {

class SenderInquiry {
public:
  // Created as the answer ends, since it opens connections to the process that
  // has the address then. Ends at `Until`, or once `Waiter` is interrupted: the
  // caller has left, the instance stops, or the request's deadline has passed.
  SenderInquiry(const GatewayContext &Context, CallerWaiter &Waiter,
                const ServerChoice &Server, TimePoint Until);
  // Gives connections that weren't used to the pool.
  ~SenderInquiry();
  SenderInquiry(const SenderInquiry &) = delete;
  SenderInquiry &operator=(const SenderInquiry &) = delete;

  SenderState run();
  const SenderEvidence &evidence() const { return Evidence; }

private:
  using CallPtr = std::unique_ptr<ServerCall>;

  // Returns null without a connection.
  CallPtr open();
  // Asks on one connection and keeps what the response shows. A connection is
  // used up if a byte may have been sent on it.
  void ask();
  void read(ServerCall &Call);
  // A report counts against the server's request limit. Without a permit by
  // `Until`, nothing is asked.
  bool awaitPermit();
  // Waits while nothing is decided by the entry or by the time. Returns whether
  // nothing was.
  bool pause(Milliseconds Time);
  // Adds what the entry, the clock and the caller show now.
  SenderDecision decide();
  Milliseconds left() const;

  const GatewayContext &Context;
  CallerWaiter &Waiter;
  const ServerChoice &Server;
  const TimePoint Until;
  std::vector<CallPtr> OpenedAtEnd;
  std::optional<TimePoint> EntryGoneAt;
  SenderEvidence Evidence;
};

} // namespace crocusspur::gateway

#endif
