// Decides on arrival whether a request for decode memory joins the queue, from
// the outcomes of this instance's recent attempts. Does no I/O; callers pass
// the time and random draws.
//
// Intended for bursts of about twice the capacity that last some seconds.
// Requests beyond what is granted would wait until they can't be on time, and
// be refused then; refused at once, their callers have more time left to come
// back. One of 60 to 400 instances sees few requests of a rank per second, but
// a multiple of that in attempts, whose chance is the same for all ranks.
#ifndef CROCUSSPUR_GATEWAY_ADMISSION_CONTROL_H
#define CROCUSSPUR_GATEWAY_ADMISSION_CONTROL_H

#include "crocusspur/types.h"
#include "gateway/decisions/attempt_interval.h"

#include <map>
#include <optional>

namespace crocusspur::gateway {

struct AdmissionDecision {
  bool Admitted = true;
  double Chance = 1;        // of a grant in time
  double AdmittedShare = 1; // of the requests of this rank
};

class AdmissionControl {
public:
  // An attempt ended: with a grant, or refused by full servers. `Taken`: how
  // long it took.
  void onAttempt(bool Granted, Milliseconds Taken, TimePoint Now);

  // Decides for a request that must be granted by `OnTimeDeadline`. Admits all
  // while the evidence is scarce or old, and after a grant until the next
  // refusal. `Draw` is in [0, 1).
  AdmissionDecision decide(const RankPosition &Rank, TimePoint OnTimeDeadline,
                           double Draw, TimePoint Now);

private:
  double decayed(double Value, TimePoint Now) const;
  // Of a grant by the deadline, if the request asks at its intervals.
  double chance(const RankPosition &Rank, TimePoint OnTimeDeadline,
                TimePoint Now) const;

  double Attempts = 0; // recent ones, weighted by age
  double Grants = 0;
  Milliseconds LastTaken{0};
  TimePoint UpdatedAt;
  bool LastGranted = true;
  std::map<uint32_t, double> AdmittedShares; // by ranks above
};

} // namespace crocusspur::gateway

#endif
