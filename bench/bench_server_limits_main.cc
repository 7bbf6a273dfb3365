// Measures what servers' request limits cost a gateway instance: a permit for a
// call without limits, with limits of other servers, from this instance as the
// owner and from the own share, and the bytes of the exchanges. Prints one JSON
// line for each; times are in nanoseconds of one core.
#include "bench_timing.h"
#include "gateway/member_codec.h"
#include "gateway/server_limits.h"

#include <chrono>
#include <iostream>
#include <string>

namespace crocusspur::bench {
namespace {

using Clock = std::chrono::steady_clock;
using namespace crocusspur::gateway;

constexpr double HighLimit = 1e6; // requests per second

std::string serverName(size_t Number) {
  return "i-" + std::to_string(1000000000 + Number);
}

// A permit and the response of one call to a server.
void measureCall(const char *What, size_t Limited, size_t Server,
                 bool OwnerKnown) {
  ServerLimits limits("edge-hall-a-1");
  limits.setSharing({[&](const std::string &) {
                       return KeyOwner{"edge-hall-a-1", "", OwnerKnown};
                     },
                     [] { return 8U; }, nullptr});
  for (size_t i = 0; i < Limited; ++i)
    limits.onResponse(serverName(i), {HighLimit}, Clock::now());
  std::string server = serverName(Server);
  StatedLimit stated;
  if (Server < Limited)
    stated.PerSecond = HighLimit;
  uint64_t granted = 0;
  double time = nanosecondsOf([&] {
    granted += limits.acquire(server, 1, Milliseconds(0)).Granted;
    limits.onResponse(server, stated, Clock::now());
  });
  std::cout << "{\"what\":\"" << What << "\",\"limited_servers\":" << Limited
            << ",\"ns\":" << time << ",\"granted\":" << (granted > 0) << "}\n";
}

MemberFrame frameWith(size_t Limits) {
  MemberFrame frame;
  frame.Sender.Name = "edge-hall-a-1";
  frame.Sender.Address = "10.1.64.13:8720";
  frame.Sender.Incarnation = 0x9c41d07be2a35f68;
  for (size_t i = 0; i < Limits; ++i)
    frame.Limits.push_back(
        {serverName(i), 2.1, Milliseconds(1200), "edge-hall-a-2"});
  return frame;
}

void measureBytes() {
  constexpr size_t Limits = 64;
  size_t plain = encode(frameWith(0)).size();
  MemberFrame request = frameWith(0);
  request.WantedPermit =
      PermitRequest{frameWith(1).Limits[0], 1, 0, Milliseconds(150)};
  MemberFrame response = frameWith(0);
  response.Permit = PaceDecision{true, Milliseconds(70)};
  std::cout << "{\"what\":\"bytes\",\"sender_only\":" << plain
            << ",\"permit_request\":" << encode(request).size()
            << ",\"permit_response\":" << encode(response).size()
            << ",\"for_each_limit\":"
            << static_cast<double>(encode(frameWith(Limits)).size() - plain) /
                   Limits
            << "}\n";
}

} // namespace
} // namespace crocusspur::bench

int main() {
  using namespace crocusspur::bench;
  measureCall("no_limit_known", 0, 0, true);
  measureCall("limits_of_other_servers", 8, 100, true);
  measureCall("permit_as_owner", 8, 0, true);
  measureCall("permit_of_own_share", 8, 0, false);
  measureCall("permit_as_owner", 64, 0, true);
  measureBytes();
  return 0;
}
