// Request limits of backend servers, for all calls of this instance. All
// functions are thread-safe.
//
// The limit of a server holds for all instances together. One of them, its
// owner, gives each call its time. Instances that can't reach the owner send no
// more than their own share of the limit, so the sum stays near the limit
// whoever is cut off, frozen or gone.
#ifndef CROCUSSPUR_GATEWAY_SERVER_LIMITS_H
#define CROCUSSPUR_GATEWAY_SERVER_LIMITS_H

#include "checked_mutex.h"
#include "gateway/decisions/member_table.h"
#include "gateway/decisions/request_pacer.h"
#include "gateway/decisions/server_limit_table.h"
#include "listener_slot.h"

#include <atomic>
#include <functional>
#include <map>
#include <mutex>
#include <string>
#include <vector>

namespace crocusspur::gateway {

// Requests per second as text, for logs.
std::string limitText(double PerSecond);

// What an instance asks the owner of a server's limit.
struct PermitRequest {
  ServerLimit Limit; // as the instance knows it
  uint32_t Calls = 1;
  // Calls sent without a permit since the last request; negative: permits that
  // weren't used.
  int32_t Charged = 0;
  Milliseconds MaxDelay{0};
};

// A decision about calls to a server, and what it rests on.
struct CallPermit {
  bool Granted = false;
  Milliseconds Delay{0}; // see PaceDecision
  // Nothing if the server has no limit.
  std::optional<ServerLimit> Limit;
  std::string DecidedBy; // the owner's name, or "own share"
};

// How limits are divided among the instances.
struct LimitSharing {
  // Returns the owner of a server's limit.
  std::function<KeyOwner(const std::string &ServerId)> FindOwner;
  // Number of instances among which a limit is divided without its owner.
  std::function<uint32_t()> Sharers;
  // Asks the owner at the address. Returns nothing without a response.
  std::function<std::optional<PaceDecision>(const std::string &Address,
                                            const PermitRequest &Request)>
      AskOwner;
};

class ServerLimits {
public:
  explicit ServerLimits(std::string Instance)
      : Instance(Instance), Table(std::move(Instance)) {}

  // Without it, this instance is the owner of all limits. Set before the object
  // is used by several threads.
  void setSharing(LimitSharing Value) { Sharing = std::move(Value); }
  // Called after a change that peers should learn soon, from any thread. It
  // must not set the listener.
  void setChangeListener(std::function<void()> Listener);

  // Records the head of a server's response to a call that was sent at
  // `SentAt`.
  void onResponse(const std::string &ServerId, const StatedLimit &Limit,
                  TimePoint SentAt);

  // Asks for permits to send calls to a server, which are granted at once if it
  // has no limit. They hold after a delay of at most `MaxDelay`. Each is used
  // by one call or returned. May ask the owner and wait for its response.
  CallPermit acquire(const std::string &ServerId, uint32_t Calls,
                     Milliseconds MaxDelay);
  // Returns permits that aren't used.
  void release(const std::string &ServerId, uint32_t Calls);
  // Counts a call that is sent without a permit.
  void onUnpermittedCall(const std::string &ServerId);
  // Decides for another instance, as the owner.
  PaceDecision decide(const PermitRequest &Request);

  // What is known of limits, for peers.
  std::vector<ServerLimit> known() const;
  // Adds what a peer knows.
  void merge(const std::vector<ServerLimit> &Items, const std::string &Peer);

  // The active limits, for logs and metrics.
  std::vector<ServerLimit> active() const;
  std::optional<ServerLimit> find(const std::string &ServerId) const;
  std::string dump() const; // the active limits as JSON

  struct Counters {
    uint64_t Granted = 0;  // permits for calls at once
    uint64_t Delayed = 0;  // permits for calls after a wait
    uint64_t Denied = 0;   // requests for permits
    uint64_t OwnShare = 0; // of all requests, those decided without the owner
    uint64_t Unpermitted = 0; // calls
  };
  Counters counters() const;

private:
  struct ServerState {
    std::optional<RequestPacer> OwnerPacer; // of this instance as the owner
    std::optional<RequestPacer> SharePacer; // of its own share
    int32_t Charged = 0;                    // not yet reported to the owner
    // Since the latest denial: when a call could be sent, and when a call that
    // can't wait may ask again.
    TimePoint NextFree;
    TimePoint AskAgainAt;
    std::string DeniedBy;
  };

  PaceDecision decideAsOwner(const ServerLimit &Limit, uint32_t Calls,
                             int32_t Charged, Milliseconds MaxDelay,
                             TimePoint Now);
  PaceDecision decideByShare(const ServerLimit &Limit, uint32_t Calls,
                             Milliseconds MaxDelay, TimePoint Now);
  // Called with the lock, which it gives up while it asks.
  CallPermit askOwner(std::unique_lock<internal::OuterMutex> &Lock,
                      const KeyOwner &Owner, PermitRequest Request);
  uint32_t sharers() const { return Sharing.Sharers ? Sharing.Sharers() : 1; }
  void charge(const std::string &ServerId, int32_t Calls);
  void logChange(const std::string &ServerId, std::optional<double> Former,
                 const std::string &Source, TimePoint Now) const;
  void expire(TimePoint Now);
  void notify();

  const std::string Instance;
  LimitSharing Sharing;
  mutable internal::OuterMutex Mutex;
  ServerLimitTable Table;
  std::map<std::string, ServerState> Servers;    // those with a known limit
  std::map<std::string, TimePoint> SilentOwners; // address, until when
  std::atomic<bool> Any{false};                  // whether any limit is known
  TimePoint MalformedLoggedAt;
  Counters Counts;
  internal::ListenerSlot<> ChangeListener;
};

} // namespace crocusspur::gateway

#endif
