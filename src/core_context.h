// Context that the decision core passes to its components with every event.
#ifndef CROCUSSPUR_CORE_CONTEXT_H
#define CROCUSSPUR_CORE_CONTEXT_H

#include "crocusspur/action.h"
#include "crocusspur/decision_core.h"

#include <string>
#include <utility>

namespace crocusspur::internal {

struct CoreContext {
  TimePoint Now;
  WallTime Wall;
  const CoreOptions &Options;
  const ConfigDocument &Config; // active version; empty before the first
  const InstanceList &List;     // newest list; empty before the first
  ActionList &Out;

  void send(std::string Instance, PeerMessage Message) {
    Out.push_back(SendToPeer{std::move(Instance), std::move(Message)});
  }
  void record(DecisionRecord Entry) { Out.push_back(std::move(Entry)); }
};

} // namespace crocusspur::internal

#endif
