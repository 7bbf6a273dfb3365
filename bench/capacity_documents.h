// Generates the published documents of a fleet of a given size for the capacity
// benchmark.
#ifndef CROCUSSPUR_BENCH_CAPACITY_DOCUMENTS_H
#define CROCUSSPUR_BENCH_CAPACITY_DOCUMENTS_H

#include "crocusspur/config_document.h"
#include "crocusspur/instance_list.h"

#include <string>

namespace crocusspur::bench {

// The ratio of servers and shards to instances is that of the target size: 400
// instances with 600 servers in 150 shards, each of one prefill and three
// decode servers.
struct FleetSize {
  int Instances = 400;
  int Groups = 5200;

  int shards() const { return Instances * 150 / 400; }
  int servers() const { return shards() * 4; }
  int models() const { return shards() < 22 ? shards() : 22; }
};

std::string instanceName(int Index);
std::string groupName(int Index);
std::string modelName(int Index);

std::string configText(const FleetSize &Size, uint64_t Version);
// If `Leaving` isn't negative, the instance of that index is listed as leaving.
std::string listText(const FleetSize &Size, uint64_t Sequence,
                     int Leaving = -1);

// Throw std::runtime_error if the text doesn't parse.
ConfigPtr parseConfig(const std::string &Text);
InstanceListPtr parseList(const std::string &Text);

} // namespace crocusspur::bench

#endif
