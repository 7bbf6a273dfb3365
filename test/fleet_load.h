// Callers that send requests to instances of a fleet at a steady rate.
#ifndef CROCUSSPUR_TEST_FLEET_LOAD_H
#define CROCUSSPUR_TEST_FLEET_LOAD_H

#include "crocusspur/types.h"
#include "gateway_fleet.h"

#include <atomic>
#include <string>
#include <thread>
#include <vector>

namespace crocusspur::test {

class FleetLoad {
public:
  // Starts one caller for each of the instances. Ids of requests begin with the
  // name of the instance and a dash.
  FleetLoad(GatewayFleet &Fleet, const std::vector<size_t> &Instances,
            const std::string &Path = "/x/y",
            Milliseconds Interval = Milliseconds(40));
  ~FleetLoad() { stop(); }
  FleetLoad(const FleetLoad &) = delete;
  FleetLoad &operator=(const FleetLoad &) = delete;

  void stop();
  size_t served() const { return Served.load(); }
  size_t refused() const { return Refused.load(); } // 503
  size_t lost() const { return Lost.load(); }       // any other answer, or none

private:
  void run(GatewayFleet &Fleet, size_t Instance, const std::string &Path,
           Milliseconds Interval);

  std::atomic<bool> Stopping{false};
  std::atomic<size_t> Served{0};
  std::atomic<size_t> Refused{0};
  std::atomic<size_t> Lost{0};
  std::vector<std::thread> Threads;
};

// Numbers of the instances of a fleet of this size.
std::vector<size_t> allInstances(size_t Count);

} // namespace crocusspur::test

#endif
