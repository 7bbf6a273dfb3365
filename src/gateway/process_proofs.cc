#include "gateway/process_proofs.h"

#include <algorithm>

namespace crocusspur::gateway {
namespace {

// Longer than a process takes to answer, or not to.
constexpr Milliseconds QuestionPeriod{500};
// How long a process that has never answered, and didn't again, is asked only
// if that is needed: a question delays the request that asks. One that has
// answered before may have a successor by now, which has to be noticed.
constexpr Milliseconds UnansweredPeriod{2000};
// Runs that began before the last question are proven by it as long as they
// last.
constexpr std::chrono::minutes Retention{30};
constexpr size_t MaxProcesses = 4096; // beyond it, old ones are forgotten

} // namespace

ProcessProofs::State &ProcessProofs::stateOf(const ServerProcess &Process,
                                             TimePoint Now) {
  if (Processes.size() >= MaxProcesses)
    std::erase_if(Processes, [Now](const auto &It) {
      const State &state = It.second;
      return Now - std::max(
                       {state.ConfirmedAt, state.AskedAt, state.UnansweredAt}) >
             Retention;
    });
  if (Processes.size() >= MaxProcesses && !Processes.contains(Process))
    Processes.erase(Processes.begin());
  return Processes[Process];
}

void ProcessProofs::onConfirmed(const ServerProcess &Process,
                                TimePoint AskedAt) {
  std::lock_guard lock(Mutex);
  State &state = stateOf(Process, AskedAt);
  state.ConfirmedAt = std::max(state.ConfirmedAt, AskedAt);
}

bool ProcessProofs::isConfirmedSince(const ServerProcess &Process,
                                     TimePoint At) const {
  std::lock_guard lock(Mutex);
  auto it = Processes.find(Process);
  return it != Processes.end() && it->second.ConfirmedAt >= At;
}

bool ProcessProofs::mayAsk(const ServerProcess &Process, TimePoint Now) {
  std::lock_guard lock(Mutex);
  State &state = stateOf(Process, Now);
  if (Now - state.AskedAt < QuestionPeriod)
    return false;
  state.AskedAt = Now;
  return true;
}

void ProcessProofs::onUnanswered(const ServerProcess &Process, TimePoint Now) {
  std::lock_guard lock(Mutex);
  stateOf(Process, Now).UnansweredAt = Now;
}

bool ProcessProofs::isResponsive(const ServerProcess &Process,
                                 TimePoint Now) const {
  std::lock_guard lock(Mutex);
  auto it = Processes.find(Process);
  if (it == Processes.end())
    return true;
  bool hasAnswered = it->second.ConfirmedAt != TimePoint();
  return Now - it->second.UnansweredAt >=
         (hasAnswered ? QuestionPeriod : UnansweredPeriod);
}

} // namespace crocusspur::gateway
