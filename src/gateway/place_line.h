// The waiting lines of all services, for the threads that run requests.
#ifndef CROCUSSPUR_GATEWAY_PLACE_LINE_H
#define CROCUSSPUR_GATEWAY_PLACE_LINE_H

#include "gateway/decisions/waiting_line.h"

#include <map>
#include <mutex>
#include <string>

namespace crocusspur::gateway {

// Thread-safe; see WaitingLine.
class PlaceLines {
public:
  uint64_t join(const std::string &Service, const LineEntry &Item);
  void leave(const std::string &Service, uint64_t Ticket);
  bool mayTry(const std::string &Service, uint64_t Ticket);
  void tried(const std::string &Service, uint64_t Ticket);
  void granted(const std::string &Service);
  bool hopeless(const std::string &Service, TimePoint Latest);
  Milliseconds drainTime(const std::string &Service);
  // Requests that wait, by service.
  std::map<std::string, size_t> sizes();

private:
  WaitingLine &line(const std::string &Service);

  std::mutex Mutex;
  std::map<std::string, WaitingLine> Lines;
};

} // namespace crocusspur::gateway

#endif
