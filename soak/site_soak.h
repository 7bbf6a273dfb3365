// The soak in the shape of two small deployments: 8 instances in 3 failure
// domains, 6 decode and 3 prefill servers, three routes of streams. Checks what
// callers receive, as a reader that knows the stream's line end only and as a
// reader of the event stream format: events of their stream only, each token
// once and in order, and no answer that looks complete and isn't.
//
// The wide form has 20 instances, links to servers that fail for a while,
// servers that send an answer twice, and first events that come about when the
// route's timeout ends.
#ifndef CROCUSSPUR_SOAK_SITE_SOAK_H
#define CROCUSSPUR_SOAK_SITE_SOAK_H

#include <chrono>
#include <cstdint>
#include <string>

namespace crocusspur::soak {

struct SiteSoakOptions {
  uint64_t Seed = 1;
  std::chrono::seconds Length{6};
  bool KeepLogs = false; // writes the instances' logs even without violations
  std::string Program;   // that the instances run; empty: of this build
  std::string OtherProgram;  // that each second start runs; empty: the same
  unsigned BreakPercent = 0; // of runs; 0: drawn
  bool Wide = false;         // the wide form
  // Decode servers are processes of their own, without proxies, and are killed.
  bool KillsServers = false;
  // Servers are replaced by ones of new software versions under new ids, while
  // an instance stands still.
  bool Releases = false;
  int Instances = 0; // 0: as many as the form has
};

// Prints one line and the first violations. Returns whether there are none.
bool runSiteSoak(const SiteSoakOptions &Options);

} // namespace crocusspur::soak

#endif
