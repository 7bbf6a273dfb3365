#include "capacity_meter.h"

#include "peer_codec.h"

#include <algorithm>
#include <array>
#include <cstdio>
#include <ctime>
#include <malloc.h>
#include <unistd.h>

namespace crocusspur::bench {
namespace {

// In the order of PeerMessage.
constexpr std::array MessageKindNames{
    "Heartbeat",   "AcquireRequest",   "PrefillGrant",  "DecodeGrant",
    "Refusal",     "PrefillDone",      "Finished",      "DecodeLost",
    "PrefillLost", "LeaseListRequest", "LeaseList",     "ForwardRequest",
    "ForwardHead", "ForwardBody",      "ForwardEnd",    "ForwardCancel",
    "KeyQuery",    "KeyAnswer",        "ConfigRequest", "ConfigOffer",
    "ListRequest", "ListOffer",        "CrashReport",   "Goodbye"};
static_assert(MessageKindNames.size() == std::variant_size_v<PeerMessage>);

constexpr uint64_t LengthPrefix = 4; // of a frame on a link

} // namespace

double processorSeconds() {
  timespec now{};
  clock_gettime(CLOCK_PROCESS_CPUTIME_ID, &now);
  return static_cast<double>(now.tv_sec) +
         1e-9 * static_cast<double>(now.tv_nsec);
}

uint64_t heapBytes() {
  struct mallinfo2 info = mallinfo2();
  return info.uordblks + info.hblkhd;
}

uint64_t residentBytes() {
  unsigned long size = 0, resident = 0;
  if (FILE *file = std::fopen("/proc/self/statm", "r")) {
    if (std::fscanf(file, "%lu %lu", &size, &resident) != 2)
      resident = 0;
    std::fclose(file);
  }
  return resident * static_cast<uint64_t>(sysconf(_SC_PAGESIZE));
}

std::string messageKind(const PeerMessage &Message) {
  return MessageKindNames[Message.index()];
}

void Meter::addEvent(const std::string &Kind, double Seconds) {
  Cost &cost = Events[Kind];
  ++cost.Count;
  cost.Seconds += Seconds;
  cost.MaxSeconds = std::max(cost.MaxSeconds, Seconds);
}

void Meter::addSent(const PeerMessage &Message) {
  double from = processorSeconds();
  size_t size = internal::encode(Message).size();
  Traffic &traffic = Sent[messageKind(Message)];
  traffic.Seconds += processorSeconds() - from;
  traffic.Bytes += size + LengthPrefix;
  ++traffic.Count;
}

double Meter::handlingSeconds() const {
  double sum = 0;
  for (const auto &[kind, cost] : Events)
    sum += cost.Seconds;
  return sum;
}

void Meter::print(const std::string &CommonFields,
                  double VirtualSeconds) const {
  for (const auto &[kind, cost] : Events)
    std::printf("{%s,\"event\":\"%s\",\"per_second\":%.2f,\"mean_us\":%.2f,"
                "\"longest_us\":%.0f,\"core_percent\":%.4f}\n",
                CommonFields.c_str(), kind.c_str(),
                static_cast<double>(cost.Count) / VirtualSeconds,
                1e6 * cost.Seconds / static_cast<double>(cost.Count),
                1e6 * cost.MaxSeconds, 100 * cost.Seconds / VirtualSeconds);
  double bytes = 0, encoding = 0, messages = 0;
  for (const auto &[kind, sent] : Sent) {
    auto count = static_cast<double>(sent.Count);
    std::printf("{%s,\"message\":\"%s\",\"per_second\":%.2f,"
                "\"mean_bytes\":%.1f,\"bytes_per_second\":%.0f,"
                "\"encode_us\":%.2f}\n",
                CommonFields.c_str(), kind.c_str(), count / VirtualSeconds,
                static_cast<double>(sent.Bytes) / count,
                static_cast<double>(sent.Bytes) / VirtualSeconds,
                1e6 * sent.Seconds / count);
    bytes += static_cast<double>(sent.Bytes);
    encoding += sent.Seconds;
    messages += count;
  }
  std::printf("{%s,\"total\":true,\"core_percent\":%.3f,"
              "\"encode_percent\":%.3f,\"messages_per_second\":%.1f,"
              "\"bytes_per_second\":%.0f}\n",
              CommonFields.c_str(), 100 * handlingSeconds() / VirtualSeconds,
              100 * encoding / VirtualSeconds, messages / VirtualSeconds,
              bytes / VirtualSeconds);
}

} // namespace crocusspur::bench
