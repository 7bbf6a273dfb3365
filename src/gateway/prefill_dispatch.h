// Placement of this instance's prefills by the owners of shards, and of other
// instances' prefills by this one. All functions are thread-safe.
#ifndef CROCUSSPUR_GATEWAY_PREFILL_DISPATCH_H
#define CROCUSSPUR_GATEWAY_PREFILL_DISPATCH_H

#include "checked_mutex.h"
#include "gateway/decisions/member_table.h"
#include "gateway/decisions/placement/prefill_dispatcher.h"
#include "gateway/service_directory.h"

#include <functional>
#include <map>
#include <mutex>
#include <optional>
#include <string>
#include <vector>

namespace crocusspur::gateway {

// How owners are found and asked.
struct DispatchSharing {
  std::function<KeyOwner(const std::string &Key)> FindOwner;
  std::function<size_t()> Instances; // known, with this one
  // Returns nothing if the owner doesn't respond in time or is an earlier
  // build.
  std::function<std::optional<PrefillAssignment>(const std::string &Address,
                                                 const PrefillAsk &Ask)>
      Ask;
};

enum class DispatchOutcome : uint8_t {
  Inactive,   // paces are equal, too few servers or instances, or a retry
  Assigned,   // by the owner
  OwnerQuiet, // isn't asked for some time, since it didn't respond
  Unanswered, // the owner didn't respond in time
  NoServer,   // the owner has none, or is unknown
  NotUsable,  // this instance may not use the assigned server
  AtLimit     // the assigned server is at its request limit
};
const char *nameOf(DispatchOutcome Outcome); // in logs

struct DispatchedPrefill {
  DispatchOutcome Outcome = DispatchOutcome::Inactive;
  std::optional<ServerChoice> Server;   // nothing: this instance selects one
  std::string Owner;                    // of the shard; empty: none was found
  Milliseconds Wait{0};                 // expected
  std::optional<Milliseconds> Duration; // expected, after the wait

  Milliseconds expected() const {
    return Wait + Duration.value_or(Milliseconds(0));
  }
};

class PrefillDispatch {
public:
  explicit PrefillDispatch(ServiceDirectory &Directory)
      : Directory(Directory) {}

  // Without it, all prefills are placed by this instance. Set before the object
  // is used by several threads.
  void setSharing(DispatchSharing Value) { Sharing = std::move(Value); }

  // Draws a shard and asks its owner for the server of a prefill, which takes
  // at most the time limit of `Ask`. A server that is returned may be used by
  // what this instance knows. `Draw`: uniform in [0, 1).
  DispatchedPrefill choose(const ServerQuery &Query, uint64_t Tokens,
                           double Draw);
  // Counts a prefill whose owner was to be asked.
  void onPlaced(bool ByOwner);
  // A server completed a prefill of this instance. The owner of its shard is
  // told with the next request to it.
  void onPrefillEnded(const ServerChoice &Server, uint64_t Tokens,
                      Milliseconds Taken, const std::optional<ServerLoad> &Load,
                      const DispatchedPrefill &Placement);

  // Decides as the owner of a shard.
  PrefillAssignment decide(const PrefillAsk &Ask);

  struct Counters {
    uint64_t Asked = 0; // owners, other instances
    uint64_t Answered = 0;
    uint64_t Unanswered = 0;
    uint64_t Decided = 0; // as the owner, also for this instance
    uint64_t ByOwner = 0; // prefills placed
    uint64_t ByInstance = 0;
    // Of prefills that owners placed and that were completed.
    Milliseconds Expected{0};
    Milliseconds Measured{0};
  };
  Counters counters() const;
  std::string dump() const; // as JSON

private:
  // An owner that didn't respond.
  struct QuietOwner {
    TimePoint Until; // isn't asked before
    Milliseconds Pause{0};
  };
  struct Completed {
    PrefillReport Report;
    TimePoint At;
  };

  // Removes the reports of the shard's servers.
  std::vector<PrefillReport> takeReports(const std::string &Service,
                                         const DispatchServers &Servers,
                                         const std::vector<size_t> &Shard);
  bool mayAsk(const std::string &Address);
  void onAsked(const std::string &Address, bool Answered);

  ServiceDirectory &Directory;
  DispatchSharing Sharing;
  mutable internal::LeafMutex Mutex; // guards the objects below
  std::map<std::string, PrefillDispatcher> Dispatchers; // by service
  std::map<std::string, std::vector<Completed>> Unsent; // by service
  std::map<std::string, QuietOwner> QuietOwners;        // by address
  Counters Counts;
};

} // namespace crocusspur::gateway

#endif
