// What a caller has received of one stream, over all its answers, and whether
// it is in order.
#ifndef CROCUSSPUR_SOAK_RECEIVED_STREAM_H
#define CROCUSSPUR_SOAK_RECEIVED_STREAM_H

#include <cstdint>
#include <optional>
#include <set>
#include <string>
#include <utility>

namespace crocusspur::soak {

constexpr int StreamEvents = 12; // of a whole stream, numbered from 1

// An event as decode servers of the soak send it.
struct StreamEvent {
  int Number = 0;
  std::string RequestId; // of the caller's request that began the stream
  std::string Server;
  std::string Version; // of the server's software
  uint64_t Run = 0;    // differs between all runs of a soak
};

std::string textOf(const StreamEvent &Event);
// Returns nothing unless the text is exactly one such event.
std::optional<StreamEvent> parseEvent(const std::string &Text);

class ReceivedStream {
public:
  // `RequestId`: of the request that began the stream.
  explicit ReceivedStream(std::string RequestId)
      : RequestId(std::move(RequestId)) {}

  // Adds the body of the next answer. Returns what is wrong with it, with the
  // events around the first fault; empty if nothing is.
  std::string add(const std::string &Body, bool WholeBody);

  int events() const { return Last.Number; }
  // An answer has ended as complete or was faulty: nothing may be added.
  bool isOver() const { return Over; }
  // The first two neighbouring events of different software versions; empty if
  // there are none. Not a fault for add().
  const std::string &versionChange() const { return VersionChange; }
  // The runs that these are of.
  std::pair<uint64_t, uint64_t> changedRuns() const { return ChangedRuns; }

private:
  std::string faultOf(const std::optional<StreamEvent> &Event) const;
  void accept(const StreamEvent &Event);

  std::string RequestId;
  StreamEvent Last;
  std::set<uint64_t> Runs; // that events have come from
  int Answers = 0;
  bool Over = false;
  std::string VersionChange;
  std::pair<uint64_t, uint64_t> ChangedRuns;
};

} // namespace crocusspur::soak

#endif
