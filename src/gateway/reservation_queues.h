// The queues of waiting requests of all services, shared by the request
// threads.
#ifndef CROCUSSPUR_GATEWAY_RESERVATION_QUEUES_H
#define CROCUSSPUR_GATEWAY_RESERVATION_QUEUES_H

#include "gateway/decisions/admission_control.h"
#include "gateway/decisions/plain_queue.h"
#include "gateway/decisions/reservation_queue.h"

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
  void onGranted(const std::string &Service);
  bool wouldTimeOut(const std::string &Service, const QueueEntry &Item);
  Milliseconds drainTime(const std::string &Service);

  // Calls `Use` with the queue of the service's plain requests and the time.
  template <typename F> auto withPlain(const std::string &Service, F Use) {
    std::lock_guard lock(Mutex);
    return Use(state(Service).Plain, std::chrono::steady_clock::now());
  }

  // Waiting requests, by service.
  std::map<std::string, size_t> sizes();

private:
  struct State {
    ReservationQueue Queue;
    AdmissionControl Admission;
    PlainQueue Plain;
  };
  State &state(const std::string &Service);

  std::mutex Mutex;
  std::map<std::string, State> Services;
};

} // namespace crocusspur::gateway

#endif
