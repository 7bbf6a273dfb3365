// Measures what the dispatch of prefills costs the owner of a shard: one
// decision with a report, the same with its frames, and the bytes of an
// exchange. Prints one JSON line for each; times are processor time in
// nanoseconds, without that of the connection.
#include "gateway/member_codec.h"
#include "gateway/prefill_dispatch.h"

#include <ctime>
#include <functional>
#include <iostream>
#include <string>

namespace crocusspur::bench {
namespace {

using namespace crocusspur::gateway;

constexpr uint64_t PromptTokens = 5200;

// Returns the mean processor time of a call, which the load of the machine
// hardly affects.
double nanosecondsOf(const std::function<void()> &Call) {
  constexpr int Calls = 2000;
  std::clock_t start = std::clock();
  for (int i = 0; i < Calls; ++i)
    Call();
  return static_cast<double>(std::clock() - start) * 1e9 / CLOCKS_PER_SEC /
         Calls;
}

std::string serverName(size_t Number) {
  return "i-" + std::to_string(1000000000 + Number);
}

// An instance that knows the servers of a service, of which a third are prefill
// servers.
struct Owner {
  explicit Owner(size_t Servers) {
    for (size_t i = 0; i < Servers; ++i) {
      ServerEntry entry;
      entry.Id = serverName(i);
      entry.Service = "model";
      entry.Address = "10.1.64.13:" + std::to_string(20000 + i);
      entry.Stage = i % 3 == 0 ? ServerStage::Prefill : ServerStage::Decode;
      entry.StartedAt = 1;
      Directory.applyServer({entry.Id, {1, 1}, entry}, UpdateOrigin::Store);
      ServerChoice server;
      server.Id = entry.Id;
      server.Address = entry.Address;
      server.StartedAt = 1;
      for (int k = 0; k < 5; ++k)
        Directory.onCallTimed(server, PromptTokens,
                              Milliseconds(i % 2 == 0 ? 90 : 200));
    }
  }

  GatewaySettings Values;
  ServiceDirectory Directory{Values, 5};
  PrefillDispatch Dispatch{Directory};
};

MemberFrame frameOf(const char *Name) {
  MemberFrame frame;
  frame.Sender.Name = Name;
  frame.Sender.Address = "10.1.64.13:8720";
  frame.Sender.Incarnation = 0x9c41d07be2a35f68;
  frame.Sender.FailureDomain = "hall-a";
  return frame;
}

void measure(size_t Servers) {
  Owner owner(Servers);
  MemberFrame request = frameOf("edge-hall-a-1");
  request.WantedPrefill =
      PrefillAsk{"model",
                 0,
                 PromptTokens,
                 {},
                 {{serverName(0), 1, PromptTokens, Milliseconds(95),
                   Milliseconds(600), 1}}};
  uint64_t assigned = 0;
  double decision = nanosecondsOf([&] {
    assigned += owner.Dispatch.decide(*request.WantedPrefill).StartedAt == 1;
  });
  std::vector<uint8_t> bytes = encode(request);
  MemberFrame response = frameOf("edge-hall-a-2");
  size_t responseBytes = 0;
  double withFrames = nanosecondsOf([&] {
    response.Prefill =
        owner.Dispatch.decide(*decodeMemberFrame(bytes)->WantedPrefill);
    responseBytes = encode(response).size();
  });
  std::cout << "{\"servers\":" << Servers << ",\"decision_ns\":" << decision
            << ",\"with_frames_ns\":" << withFrames
            << ",\"request_bytes\":" << bytes.size()
            << ",\"response_bytes\":" << responseBytes
            << ",\"assigned\":" << (assigned > 0) << "}\n";
}

} // namespace
} // namespace crocusspur::bench

int main() {
  for (size_t servers : {51, 96, 600})
    crocusspur::bench::measure(servers);
  return 0;
}
