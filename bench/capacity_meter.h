// Collects the processor time of each kind of event and the bytes of each kind
// of message for the capacity benchmark.
#ifndef CROCUSSPUR_BENCH_CAPACITY_METER_H
#define CROCUSSPUR_BENCH_CAPACITY_METER_H

#include "crocusspur/peer_message.h"

#include <cstdint>
#include <map>
#include <string>

namespace crocusspur::bench {

// Processor time of this process in seconds.
double processorSeconds();
// Bytes currently allocated on the heap.
uint64_t heapBytes();
// Resident memory of this process in bytes.
uint64_t residentBytes();

struct Cost {
  uint64_t Count = 0;
  double Seconds = 0;
  double MaxSeconds = 0;
};

class Meter {
public:
  void clear() { *this = Meter(); }
  void addEvent(const std::string &Kind, double Seconds);
  // Encodes the message as a peer link does and counts the bytes of its frame.
  void addSent(const PeerMessage &Message);
  double handlingSeconds() const;

  // Prints one JSON line for each kind of event and message and one for the
  // totals.
  // Each line starts with `CommonFields`, which has no opening brace.
  void print(const std::string &CommonFields, double VirtualSeconds) const;

private:
  std::map<std::string, Cost> Events;
  struct Traffic {
    uint64_t Count = 0;
    uint64_t Bytes = 0;
    double Seconds = 0; // of encoding
  };
  std::map<std::string, Traffic> Sent;
};

std::string messageKind(const PeerMessage &Message);

} // namespace crocusspur::bench

#endif
