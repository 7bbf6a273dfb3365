// Streams of the decode servers of the site shape, with the ways in which runs
// break off.
#ifndef CROCUSSPUR_SOAK_SITE_SERVERS_H
#define CROCUSSPUR_SOAK_SITE_SERVERS_H

#include "site_events.h"
#include "soak_servers.h"

namespace crocusspur::soak {

struct SiteServerOptions {
  std::string Id;
  std::string Version;
  const EventForm *Form = nullptr;
  unsigned BreakPercent = 15; // of runs
  uint64_t Seed = 0;
  unsigned CopyPercent = 0;      // of answers that are sent twice
  unsigned LateFirstPercent = 0; // of runs on the path `LatePath`
  std::string LatePath;
  Milliseconds LateFirst{0};     // latest time of the first event of such a run
  unsigned FailFirstPercent = 0; // of runs that end before their first event
  Milliseconds LeastPause{0};    // between events, added to the drawn pause
};

// Writes the response of one run of a stream; for a SoakServer.
StreamHook makeSiteStreams(SiteServerOptions Options);

} // namespace crocusspur::soak

#endif
