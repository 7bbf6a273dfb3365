#include "paired_calls.h"

#include "process_fixture.h"

#include <algorithm>
#include <chrono>
#include <random>
#include <stdexcept>
#include <thread>

namespace crocusspur::bench {
namespace {

using Clock = std::chrono::steady_clock;

// Takes 1 ms to prefill.
const char Prompt[] = R"("prompt":"next free bay","prompt_tokens":20)";
const char MaxTokens[] = R"("max_tokens":2)";

double elapsedMs(Clock::time_point From) {
  return std::chrono::duration<double, std::milli>(Clock::now() - From).count();
}

// Reads the stream to its end so that the engine is idle at the next call.
double timeToFirstToken(test::EventStream &Stream, Clock::time_point Start,
                        const char *Marker) {
  double first = -1;
  test::StreamEvent event;
  while (Stream.next(event))
    if (first < 0 && event.Data.find(Marker) != std::string::npos)
      first = elapsedMs(Start);
  if (first < 0)
    throw std::runtime_error("no token: status " +
                             std::to_string(Stream.status()));
  return first;
}

double directCall(test::ProcessFixture &Fleet, size_t Number) {
  const std::string &prefill = Fleet.server("p1").Address;
  std::string common = R"({"request":"ffffffff-)" + std::to_string(Number + 1) +
                       R"(","attempt":1,"fence":9007199254740991,)"
                       R"("model":"summary","group":"drivers","priority":0,)";
  Clock::time_point start = Clock::now();
  test::HttpResponse response =
      test::send({prefill, "POST", "/v1/prefill", common + Prompt + "}", {}});
  if (response.Status != 200)
    throw std::runtime_error("direct prefill: " + response.Body);
  test::HttpRequest decode{Fleet.server("d1").Address,
                           "POST",
                           "/v1/decode",
                           common + "\"source\":\"" + prefill +
                               "\",\"first_index\":0," + MaxTokens + "}",
                           {}};
  test::EventStream stream(decode);
  return timeToFirstToken(stream, start, "\"token\"");
}

double routedCall(test::ProcessFixture &Fleet) {
  test::HttpRequest request =
      Fleet.call(0, "POST", "/v1/completions",
                 std::string(R"({"model":"summary","stream":true,)") + Prompt +
                     "," + MaxTokens + "}");
  Clock::time_point start = Clock::now();
  test::EventStream stream(request);
  return timeToFirstToken(stream, start, "\"finish_reason\":null");
}

// A call ends on a millisecond tick of the engine's token pacer. Starting the
// next call immediately would synchronize its start with the ticks and round
// the difference of a pair to whole milliseconds.
void sleepRandomly(std::mt19937_64 &Random) {
  std::this_thread::sleep_for(std::chrono::microseconds(Random() % 2000));
}

} // namespace

PairedTimes measurePairs(size_t Count) {
  test::FleetOptions options;
  options.Routers = 1;
  options.PrefillServers = 1;
  options.DecodeServers = 1;
  options.ServiceServers = 0;
  options.TokenIntervalMs = 5;
  // Direct calls send their own fencing token.
  options.ChecksFencing = false;
  test::ProcessFixture fleet(options);
  PairedTimes times;
  std::mt19937_64 random(Count);
  for (size_t i = 0; i < Count; ++i) {
    double direct = 0, routed = 0;
    // The order alternates so that neither call always finds the caches warmed
    // by the other.
    for (bool viaRouter : {i % 2 != 0, i % 2 == 0}) {
      sleepRandomly(random);
      (viaRouter ? routed : direct) =
          viaRouter ? routedCall(fleet) : directCall(fleet, i);
    }
    times.Direct.push_back(direct);
    times.Added.push_back(routed - direct);
  }
  std::sort(times.Direct.begin(), times.Direct.end());
  std::sort(times.Added.begin(), times.Added.end());
  return times;
}

} // namespace crocusspur::bench
