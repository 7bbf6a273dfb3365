// Crashes of backend servers by what was running there, merged from all
// instances. Suspects are whole contents and parts of prompts. A server ends
// with about ten requests running, so a crash alone proves nothing about one of
// them.
//
// A content that has crashed three servers is refused; one that completed isn't
// the cause. A part of a prompt ends a server when it begins to answer, so only
// runs that had just begun count against a part, and one that began and went on
// clears it of all crashes before. A part is refused some time after its fifth
// crash, when runs elsewhere have had time to clear it.
//
// Does no I/O; callers pass the time.
#ifndef CROCUSSPUR_GATEWAY_CRASH_HISTORY_H
#define CROCUSSPUR_GATEWAY_CRASH_HISTORY_H

#include "crocusspur/types.h"
#include "gateway/decisions/prompt_parts.h"

#include <array>
#include <compare>
#include <deque>
#include <map>
#include <optional>
#include <span>
#include <string>
#include <vector>

namespace crocusspur::gateway {

enum class SuspectKind : uint8_t { Content, PromptPart };

// The end of a server's process while it ran a request with this suspect.
struct CrashRecord {
  uint64_t Key = 0; // see fingerprintOf(), PromptPartKey
  std::string ServerId;
  std::string Witness; // the instance whose request ran there
  Milliseconds Age{0};
  SuspectKind Kind = SuspectKind::Content;
  // Start of the process that ended, in Unix milliseconds; 0: unknown. With the
  // server's id it identifies the crash.
  int64_t ServerStartedAt = 0;
};

// A suspect that has been shown not to be the cause of earlier crashes.
struct ClearedSuspect {
  uint64_t Key = 0;
  // Since the content last completed, or since a run with the part began that
  // went on.
  Milliseconds Age{0};
  SuspectKind Kind = SuspectKind::Content;
};

class CrashHistory {
public:
  // Adds a crash seen by this instance or reported by a peer. Returns whether
  // it is new and counts: an equal record is known at most once, and one of a
  // suspect that was cleared of it is dropped.
  bool addCrash(const CrashRecord &Item, TimePoint Now);
  // Records that a request of this instance completed. Returns whether the
  // content was a suspect until then.
  bool onCompleted(uint64_t Content, TimePoint Now);
  // Records that a run of this instance with the part began to answer at this
  // time and went on. Returns whether that cleared the part of a crash.
  bool onPartSurvived(PromptPartKey Part, TimePoint BegunAt);
  // Adds what a peer has cleared. Returns whether that was new.
  bool addCleared(const ClearedSuspect &Item, TimePoint Now);

  // Number of servers that crashed under the suspect within the retention time.
  uint32_t crashes(uint64_t Key, TimePoint Now,
                   SuspectKind Kind = SuspectKind::Content) const;
  // Returns how long requests with this content are refused from now on, or
  // nothing if they may run.
  std::optional<Milliseconds> refusedFor(uint64_t Content, TimePoint Now) const;
  uint32_t refusedContents(TimePoint Now) const;

  // What is known of the parts of one request's prompt together, in the order
  // of severity: the severest of its parts decides.
  enum class PartVerdict : uint8_t {
    Unsuspected,
    Suspected, // a run that ended with its server isn't sent to another one
    Probation, // a refusal is over; few may run until one shows the outcome
    Refused
  };
  struct PartState {
    PartVerdict Verdict = PartVerdict::Unsuspected;
    PromptPartKey Part = 0;     // the part that decides
    Milliseconds RefusedFor{0}; // from now on
  };
  // The crashes of a part that all happened beside another suspected part,
  // which this prompt doesn't have, don't count.
  PartState stateOf(std::span<const PromptPartKey> Parts, TimePoint Now) const;
  uint32_t refusedParts(TimePoint Now) const;

  // What was added after the given number of changes, for peers.
  struct Update {
    std::vector<CrashRecord> Crashes;
    std::vector<ClearedSuspect> Cleared;
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
  struct Suspect {
    SuspectKind Kind = SuspectKind::Content;
    uint64_t Key = 0;
    auto operator<=>(const Suspect &) const = default;
  };
  struct Crash {
    std::string ServerId;
    std::string Witness;
    TimePoint At;
    uint64_t Change = 0;
    int64_t ServerStartedAt = 0;
  };
  static bool isSameCrash(const Crash &Left, const Crash &Right);
  struct Clearance {
    TimePoint At;
    uint64_t Change = 0;
  };
  using CrashMap = std::map<Suspect, std::vector<Crash>>;

  // Drops the crashes that the clearance covers. Returns their number.
  size_t eraseCleared(const Suspect &Item, TimePoint ClearedAt);
  void clear(const Suspect &Item, TimePoint At);
  bool isCleared(const Suspect &Item, TimePoint CrashedAt) const;
  void recordSurvival(const Suspect &Item, TimePoint At);
  void makeRoom();
  void eraseSuspect(CrashMap::iterator Item);

  // Times of a part's crashes, at most `MaxPerWindow` of those within `Window`.
  std::vector<TimePoint> countedCrashes(const std::vector<Crash> &All,
                                        TimePoint Now, Milliseconds Window,
                                        size_t MaxPerWindow) const;
  // Servers that are lost together, or one after the other, run the same
  // popular parts. So a part that survived before is refused only if a run
  // without it has shown since then that servers work.
  PartState stateOfPart(const CrashMap::value_type &Item, TimePoint Now) const;
  void recordPartSurvival(PromptPartKey Part, TimePoint BegunAt);
  // When the latest run with another part began that survived, at any instance.
  TimePoint latestSurvivalWithout(PromptPartKey Part) const;
  // Whether crashes of a part are those of another one outside of `Parts`.
  bool isExplained(const CrashMap::value_type &Item,
                   std::span<const PromptPartKey> Parts) const;
  bool hasSurvived(const Suspect &Item) const;

  CrashMap Crashes; // those of one suspect by time
  size_t RecordCount = 0;
  std::map<Suspect, Clearance> Cleared;
  // Contents that completed here lately, and parts by the latest run that
  // survived, with a queue to drop the oldest.
  std::map<Suspect, TimePoint> Survived;
  std::deque<Suspect> SurvivedOrder;
  // Of two different parts, the latest first.
  struct PartSurvival {
    PromptPartKey Part = 0;
    TimePoint BegunAt;
  };
  std::array<PartSurvival, 2> LatestSurvivals;
  uint64_t LastChange = 0;
};

} // namespace crocusspur::gateway

#endif
