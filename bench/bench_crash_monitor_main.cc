// Measures what the recognition of crashing requests costs a gateway instance:
// the fingerprint of a request, the record of its run, and a full table sent to
// a peer. Prints one JSON line for each; times are in nanoseconds of one core.
#include "bench_timing.h"
#include "gateway/crash_monitor.h"
#include "gateway/decisions/content_fingerprint.h"
#include "gateway/member_codec.h"

#include <chrono>
#include <iostream>
#include <string>

namespace crocusspur::bench {
namespace {

using Clock = std::chrono::steady_clock;
using namespace crocusspur::gateway;

constexpr uint64_t FullTable = 2048; // crash records

void measureFingerprint(size_t BodyBytes) {
  std::string body(BodyBytes, 'x');
  uint64_t sum = 0;
  double time = nanosecondsOf([&] {
    body[0] = static_cast<char>(sum);
    sum += fingerprintOf({"a.example", "POST", "/lohu930/2f", body});
  });
  std::cout << "{\"what\":\"fingerprint\",\"body_bytes\":" << BodyBytes
            << ",\"ns\":" << time << ",\"check\":" << sum % 10 << "}\n";
}

CrashHistory::Update crashes(uint64_t Count) {
  CrashHistory::Update update;
  for (uint64_t i = 0; i < Count; ++i)
    update.Crashes.push_back(
        {i + 1, "i-" + std::to_string(1000000000 + i % 600),
         "edge-daejeon-a-" + std::to_string(i % 400), Milliseconds(i % 60000)});
  return update;
}

void measureRun(uint64_t Records) {
  CrashMonitor monitor("edge-daejeon-a-1");
  monitor.merge(crashes(Records), "edge-daejeon-a-2");
  uint64_t content = uint64_t(1) << 32;
  double time = nanosecondsOf([&] {
    ++content;
    monitor.refusedFor(content);
    RunTracker::Id run = monitor.runStarted(
        {content, "9c41d07be2a35f68", "i-7f3a91c2aa", 1764000000123,
         std::chrono::steady_clock::now(), std::nullopt});
    monitor.onResponded(run);
    monitor.runEnded(run, RunEnd::Completed);
  });
  std::cout << "{\"what\":\"run\",\"records\":" << Records << ",\"ns\":" << time
            << "}\n";
}

void measureTable(uint64_t Records) {
  CrashMonitor monitor("edge-daejeon-a-1");
  monitor.merge(crashes(Records), "edge-daejeon-a-2");
  size_t bytes = 0;
  double send = nanosecondsOf([&] {
    MemberFrame frame;
    frame.Crashes = monitor.changesAfter(0);
    bytes = encode(frame).size();
  });
  double digest = nanosecondsOf([&] { monitor.digest(); });
  std::cout << "{\"what\":\"table\",\"records\":" << Records
            << ",\"bytes\":" << bytes << ",\"encode_ns\":" << send
            << ",\"digest_ns\":" << digest << "}\n";
}

} // namespace
} // namespace crocusspur::bench

int main() {
  using namespace crocusspur::bench;
  for (size_t bytes : {size_t(0), size_t(800), size_t(5000), size_t(4194304)})
    measureFingerprint(bytes);
  for (uint64_t records : {uint64_t(0), FullTable})
    measureRun(records);
  for (uint64_t records : {uint64_t(10), FullTable})
    measureTable(records);
}
