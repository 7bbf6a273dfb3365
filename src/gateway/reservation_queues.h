// The queues of waiting requests of all services, shared by the request
// threads.
#ifndef CROCUSSPUR_GATEWAY_RESERVATION_QUEUES_H
#define CROCUSSPUR_GATEWAY_RESERVATION_QUEUES_H

#include "checked_mutex.h"
#include "gateway/decisions/admission_control.h"
#include "gateway/decisions/plain_queue.h"
#include "gateway/decisions/reservation_queue.h"
#include "gateway/decisions/routing/route_explanation.h"

#include <array>
#include <functional>
#include <map>
#include <mutex>
#include <string>

namespace crocusspur::gateway {

// Thread-safe; see ReservationQueue and PlainQueue.
class ReservationQueues {
public:
  uint64_t join(const std::string &Service, const QueueEntry &Item);
  void leave(const std::string &Service, uint64_t Ticket);
  bool tryStartAttempt(const std::string &Service, uint64_t Ticket);
  void onAttemptEnded(const std::string &Service, uint64_t Ticket);
  // All servers that were asked in an attempt are full, or one has granted it.
  void onAttemptAnswered(const std::string &Service, bool Granted,
                         Milliseconds Taken);
  // Whether a request may join; see AdmissionControl.
  AdmissionDecision decide(const std::string &Service, const QueueEntry &Item,
                           double Draw);
  bool isContended(const std::string &Service);
  void onGranted(const std::string &Service, uint64_t Ticket);
  bool wouldTimeOut(const std::string &Service, const QueueEntry &Item);
  Milliseconds drainTime(const std::string &Service);

  // Calls `Use` with the queue of the service's plain requests and the time.
  template <typename F> auto withPlain(const std::string &Service, F Use) {
    std::lock_guard lock(Mutex);
    return Use(state(Service).Plain, std::chrono::steady_clock::now());
  }

  // How requests left the queues, for metrics and the state.
  enum class QueueOutcome : uint8_t { Granted, Refused, Rejected };
  void countStream(const std::string &Service, uint32_t Priority,
                   QueueOutcome Outcome);
  // `Outcome`: "sent", "too_late" or "rejected".
  void countPlain(const std::string &Service, const std::string &Outcome);
  // Calls the function with each counter. Labels are bounded by the number of
  // services.
  using CounterVisitor = std::function<void(
      const std::string &Name, const std::string &Label, uint64_t Value)>;
  void forEachCounter(const CounterVisitor &Visit);
  std::string dump(); // as JSON

  // Waiting requests, by service.
  std::map<std::string, size_t> sizes();
  // Copies of the queues of all services that have some, for explanations.
  std::map<std::string, ServiceQueues> copies();

private:
  static constexpr size_t RankCount = 10;
  struct State {
    ReservationQueue Queue;
    AdmissionControl Admission;
    PlainQueue Plain;
    // By rank, the last for all below, and by outcome.
    std::array<std::array<uint64_t, 3>, RankCount> Streams{};
    std::map<std::string, uint64_t> PlainWaits; // by outcome
  };
  State &state(const std::string &Service);

  internal::LeafMutex Mutex;
  std::map<std::string, State> Services;
};

} // namespace crocusspur::gateway

#endif
