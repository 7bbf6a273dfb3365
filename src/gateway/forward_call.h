// A request that is passed on to another instance: the connection that carries
// it and the frames of its response.
#ifndef CROCUSSPUR_GATEWAY_FORWARD_CALL_H
#define CROCUSSPUR_GATEWAY_FORWARD_CALL_H

#include "gateway/decisions/memory_budget.h"
#include "gateway/member_codec.h"
#include "gateway/server_call.h"
#include "response_sink.h"
#include "stall_detector.h"

#include <optional>
#include <string>
#include <utility>

namespace crocusspur::gateway {

// The side of the instance that passes a request on. Closing the connection
// ends the request's run.
class ForwardCall {
public:
  explicit ForwardCall(CallerWaiter &Waiter, MemoryBudget *Memory = nullptr)
      : Waiter(Waiter), Hold(Memory, MemoryUse::PeerFrame) {}

  // Connects to the instance and sends the frame. Returns NotSent if it can't
  // have got the whole frame, without which it does nothing.
  CallStatus start(const std::string &Address, const MemberFrame &Request);
  // Waits for the next frame of the response, at most for `Timeout`.
  CallStatus read(ForwardResponse &Frame, Milliseconds Timeout);

private:
  CallStatus fromWait(internal::WaitResult Result) const;

  CallerWaiter &Waiter;
  internal::BackendSocketPtr Socket;
  std::string Received; // not yet decoded
  MemoryHold Hold;      // for it
};

// The side of the instance that handles the request: sends its response as
// frames.
class ForwardSink final : public internal::ResponseSink {
public:
  explicit ForwardSink(int Fd);

  bool begin(const internal::ResponseHead &Head) override;
  bool write(std::string_view Data) override;
  bool end(bool Complete) override;
  int watchedSocket() const override { return Fd; }

  // Sends a problem instead of a response. `Elsewhere`: another instance may
  // handle the request.
  bool sendProblem(const internal::Problem &Item, bool Elsewhere);
  // What the first frame says besides.
  void setRoutes(uint64_t ConfigVersion, std::string RoutesText);
  // `Server`: nothing if this instance records the version.
  void setOutputVersion(VersionKey Version,
                        std::optional<ServerProcess> Server) {
    OutputVersion = Version;
    OutputServer = std::move(Server);
  }
  // Told at once, since the run may be silent.
  void setVersionUncertain();
  void setLeavingServer(ServerProcess Server) { Leaving = std::move(Server); }

private:
  bool send(ForwardResponse Frame);

  int Fd;
  internal::StallDetector Stall;
  bool Failed = false;
  VersionKey OutputVersion = 0;
  std::optional<ServerProcess> OutputServer;
  bool VersionUncertain = false;
  std::optional<ServerProcess> Leaving;
  // Sent with the first data.
  std::optional<ForwardResponse::Head> PendingHead;
  uint64_t ConfigVersion = 0;
  std::string RoutesText;
};

} // namespace crocusspur::gateway

#endif
