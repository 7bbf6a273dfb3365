// With which terms a new request waits for a server. Does no I/O; callers pass
// the time.
#ifndef CROCUSSPUR_GATEWAY_QUEUE_TERMS_H
#define CROCUSSPUR_GATEWAY_QUEUE_TERMS_H

#include "gateway/decisions/output_estimator.h"
#include "gateway/decisions/plain_queue.h"
#include "gateway/decisions/reservation_queue.h"
#include "gateway/decisions/route_table.h"

#include <string>

namespace crocusspur::gateway {

// Of a stream that waits for a reservation at a decode server.
QueueEntry streamTerms(const PathRoute &Route, const GenerationSize &Size,
                       const RankPosition &Rank, const std::string &Account,
                       TimePoint Arrived);

// Of a plain request that waits for room at a server. `AnswerTime`: from the
// sending of a request to its response; 0: unknown.
PlainEntry plainTerms(const PathRoute &Route, const RankPosition &Rank,
                      const std::string &Account, Milliseconds AnswerTime,
                      TimePoint Arrived);

} // namespace crocusspur::gateway

#endif
