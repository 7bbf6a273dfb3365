// The reservation queues of all services, shared by the request threads.
#ifndef CROCUSSPUR_GATEWAY_RESERVATION_QUEUES_H
#define CROCUSSPUR_GATEWAY_RESERVATION_QUEUES_H

#include "gateway/decisions/reservation_queue.h"

#include <map>
#include <mutex>
#include <string>

namespace crocusspur::gateway {

// Thread-safe; see ReservationQueue.
class ReservationQueues {
public:
  uint64_t join(const std::string &Service, const QueueEntry &Item);
  void leave(const std::string &Service, uint64_t Ticket);
  bool tryStartAttempt(const std::string &Service, uint64_t Ticket);
  void onAttemptEnded(const std::string &Service, uint64_t Ticket);
  void onAllFull(const std::string &Service);
  bool isContended(const std::string &Service);
  void onGranted(const std::string &Service);
  bool wouldTimeOut(const std::string &Service, TimePoint Latest);
  Milliseconds drainTime(const std::string &Service);
  // Waiting requests, by service.
  std::map<std::string, size_t> sizes();

private:
  ReservationQueue &queue(const std::string &Service);

  std::mutex Mutex;
  std::map<std::string, ReservationQueue> Queues;
};

} // namespace crocusspur::gateway

#endif
