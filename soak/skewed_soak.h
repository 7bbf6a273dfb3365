// The soak in the shape of a site, of a release during which an instance is out
// of step. Servers of a new version join and end again, streams that began at
// them are taken up, and no caller may get events of two versions. In half of
// the rounds both versions serve side by side, runs fail before their first
// event, and instances that reach no server pass requests on.
#ifndef CROCUSSPUR_SOAK_SKEWED_SOAK_H
#define CROCUSSPUR_SOAK_SKEWED_SOAK_H

#include "site_soak.h"

namespace crocusspur::soak {

// Runs rounds until the length has passed, and prints one line and the first
// violations. Returns whether there are none.
bool runSkewedSoak(const SiteSoakOptions &Options);

} // namespace crocusspur::soak

#endif
