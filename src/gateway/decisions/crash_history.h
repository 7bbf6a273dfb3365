// Crashes of backend servers by the content of the requests that they ran,
// merged from all instances. A content that has crashed three servers is
// refused. A server ends with about ten requests running, so a crash alone
// proves nothing about one of them; a content that completed isn't the cause.
// Does no I/O; callers pass the time.
#ifndef CROCUSSPUR_GATEWAY_CRASH_HISTORY_H
#define CROCUSSPUR_GATEWAY_CRASH_HISTORY_H

#include "crocusspur/types.h"

#include <deque>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

namespace crocusspur::gateway {

// The end of a server's process while it ran a request with this content.
struct CrashRecord {
  uint64_t Content = 0; // see fingerprintOf()
  std::string ServerId;
  std::string Witness; // the instance whose request ran there
  Milliseconds Age{0};
};

// A content that completed although it was a suspect.
struct ClearedContent {
  uint64_t Content = 0;
  Milliseconds Age{0}; // since it last completed
};

class CrashHistory {
public:
  // Adds a crash seen by this instance or reported by a peer. Returns whether
  // it is new and counts: an equal record is known at most once, and one of a
  // content that completed lately is dropped.
  bool addCrash(const CrashRecord &Item, TimePoint Now);
  // Records that a request of this instance completed. Returns whether the
  // content was a suspect until then.
  bool onCompleted(uint64_t Content, TimePoint Now);
  // Adds what a peer has cleared. Returns whether that was new.
  bool addCleared(const ClearedContent &Item, TimePoint Now);

  // Number of servers that crashed under the content within the retention time.
  uint32_t crashes(uint64_t Content, TimePoint Now) const;
  // Returns how long requests with this content are refused from now on, or
  // nothing if they may run.
  std::optional<Milliseconds> refusedFor(uint64_t Content, TimePoint Now) const;
  uint32_t refusedContents(TimePoint Now) const;

  // What was added after the given number of changes, for peers.
  struct Update {
    std::vector<CrashRecord> Crashes;
    std::vector<ClearedContent> Cleared;
    bool empty() const { return Crashes.empty() && Cleared.empty(); }
  };
  Update changesAfter(uint64_t Change, TimePoint Now) const;
  // What a peer with this digest may have missed: all for one that knows
  // nothing, otherwise the latest changes if the digests differ.
  Update updateFor(uint64_t PeerDigest, TimePoint Now) const;
  uint64_t lastChange() const { return LastChange; }
  size_t size() const { return RecordCount; } // number of crash records
  // Equal for equal sets of records, whatever the order in which they came.
  uint64_t digest() const;
  // Drops what is older than the retention time.
  void expire(TimePoint Now);

private:
  struct Crash {
    std::string ServerId;
    std::string Witness;
    TimePoint At;
    uint64_t Change = 0;
  };
  struct Clearance {
    TimePoint At;
    uint64_t Change = 0;
  };
  using CrashMap = std::unordered_map<uint64_t, std::vector<Crash>>;

  void clear(uint64_t Content, TimePoint At);
  bool isCleared(uint64_t Content, TimePoint CrashedAt) const;
  void makeRoom();
  void eraseContent(CrashMap::iterator Item);

  CrashMap Crashes; // by content; those of one content by time
  size_t RecordCount = 0;
  std::unordered_map<uint64_t, Clearance> Cleared;
  // Contents that completed here lately, with a queue to drop the oldest.
  std::unordered_map<uint64_t, TimePoint> Completed;
  std::deque<uint64_t> CompletedOrder;
  uint64_t LastChange = 0;
};

} // namespace crocusspur::gateway

#endif
