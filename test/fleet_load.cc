#include "fleet_load.h"

#include <numeric>

namespace crocusspur::test {

FleetLoad::FleetLoad(GatewayFleet &Fleet, const std::vector<size_t> &Instances,
                     const std::string &Path, Milliseconds Interval) {
  for (size_t i : Instances)
    Threads.emplace_back(
        [this, &Fleet, i, Path, Interval] { run(Fleet, i, Path, Interval); });
}

void FleetLoad::run(GatewayFleet &Fleet, size_t Instance,
                    const std::string &Path, Milliseconds Interval) {
  const GatewayInstance &instance = Fleet.Instances[Instance];
  for (int i = 0; !Stopping.load(); ++i) {
    std::string response = GatewayFleet::get(
        instance.Callers, Path,
        "Attempt-Id: " + instance.Name + "-" + std::to_string(i) +
            "\r\nToken-Usage: 500,100\r\nDeadline-Ms: 2000\r\n");
    if (response.starts_with("HTTP/1.1 200"))
      ++Served;
    else
      ++(response.starts_with("HTTP/1.1 503") ? Refused : Lost);
    std::this_thread::sleep_for(Interval);
  }
}

void FleetLoad::stop() {
  Stopping.store(true);
  for (std::thread &it : Threads)
    if (it.joinable())
      it.join();
}

std::vector<size_t> allInstances(size_t Count) {
  std::vector<size_t> all(Count);
  std::iota(all.begin(), all.end(), size_t(0));
  return all;
}

} // namespace crocusspur::test
