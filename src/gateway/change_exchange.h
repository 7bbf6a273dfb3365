// Sends on to peers what they are to learn at once, and asks them for what this
// instance may have missed. Runs on a thread of its own, since the regular
// exchanges wait for peers that don't respond.
#ifndef CROCUSSPUR_GATEWAY_CHANGE_EXCHANGE_H
#define CROCUSSPUR_GATEWAY_CHANGE_EXCHANGE_H

#include "checked_mutex.h"
#include "gateway/decisions/fleet/knowledge_queries.h"
#include "gateway/gateway_runtime.h"
#include "gateway/member_codec.h"

#include <functional>
#include <mutex>
#include <string>
#include <thread>
#include <utility>

namespace crocusspur::gateway {

// What orders configurations: the version, then the change that wrote it.
using ConfigKey = std::pair<uint64_t, StoreRevision>;

inline ConfigKey configOf(const MemberFrame &Frame) {
  return {Frame.ConfigVersion, Frame.ConfigRevision};
}

void addServers(const std::vector<ServerChange> &Changes, MemberFrame &Frame);

struct ChangeExchangeHooks {
  // The part that all frames have, and what is left of it in a notification
  // without the sender's state.
  std::function<MemberFrame()> BasicFrame;
  std::function<MemberFrame()> LightFrame;
  // Calls the peer and applies its response. Returns whether there is one.
  std::function<bool(const std::string &Address, const MemberFrame &Request,
                     Milliseconds Timeout)>
      Exchange;
};

class ChangeExchange {
public:
  ChangeExchange(GatewayRuntime &Runtime, ChangeExchangeHooks Hooks);

  void start();
  void prepareStop(); // see Plugin
  void stop();

  // There is something that peers are to learn at once. Doesn't wait for them.
  void onChange();
  // A frame of a peer was applied. `At`: at the latest when the peer composed
  // it. `IsNotification`: it was sent unasked.
  void onFrame(const MemberFrame &Frame, TimePoint At, bool IsNotification);

private:
  void onStoreConfirmed(bool WasOld);
  void run();
  // Waits until there is something to do. Returns false if this instance stops.
  bool await();
  void sendNotifications(bool IsConfirmation);
  // Adds what has changed since the last notification. Returns whether there is
  // something.
  bool addChanges(MemberFrame &Frame);
  void tellReaders();
  void ask();
  TimePoint nextQuestion();

  GatewayRuntime &Runtime;
  const ChangeExchangeHooks Hooks;
  internal::LeafMutex Mutex; // guards the members up to Newest
  internal::ConditionVariable Wake;
  bool Stopping = false;
  bool HasChanges = false;      // that contacts haven't been told of
  bool HasConfirmation = false; // knowledge became recent that peers may lack
  bool IsConfirmed = false;     // by the store, which readers are told
  bool IsRescheduled = false;
  KnowledgeQueries Queries;
  // The newest that any peer has reported.
  ConfigKey NewestConfig;
  StoreRevision NewestServers;
  // Used by the thread only.
  uint64_t SentCrashChange = 0;
  uint64_t SentEra = 0;
  ConfigKey SentConfig;
  StoreRevision SentServers;
  std::thread Thread;
};

} // namespace crocusspur::gateway

#endif
