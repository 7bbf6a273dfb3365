// Published documents that the tests of the core start with: one model with
// prefill servers p1.. and decode servers d1.., one service with s1...
#ifndef CROCUSSPUR_TEST_CORE_SAMPLES_H
#define CROCUSSPUR_TEST_CORE_SAMPLES_H

#include "crocusspur/config_document.h"
#include "crocusspur/decision_core.h"
#include "crocusspur/instance_list.h"

#include <string>
#include <vector>

namespace crocusspur::test {

struct SampleOptions {
  uint64_t Version = 1;
  uint64_t Base = 0;
  int Prefills = 2;
  int Decodes = 2;
  int ServiceServers = 2;
  int Slots = 2; // of each decode server
  // Groups: "drivers" (interactive), "dispatch" (batch, may wait) and "bound",
  // which may only use the region "elsewhere".
};

std::string sampleConfigText(const SampleOptions &Options = {});

// Instances e1 to eN in the failure domains hall-a, hall-b, hall-c in turn,
// and the servers of sampleConfigText. `Leaving` names instances or servers.
std::string sampleListText(uint64_t Sequence, int Instances,
                           const SampleOptions &Options = {},
                           const std::vector<std::string> &Leaving = {});

// Throw std::runtime_error if the text doesn't parse.
ConfigPtr parsedConfig(const std::string &Text);
InstanceListPtr parsedList(const std::string &Text);

CoreOptions sampleCoreOptions(const std::string &Instance,
                              uint64_t Incarnation);

// Requests of the group "drivers".
RequestSpec modelSpec();
RequestSpec serviceSpec(bool Idempotent);

} // namespace crocusspur::test

#endif
