// Points in virtual time for tests.
#ifndef CROCUSSPUR_TEST_VIRTUAL_TIME_H
#define CROCUSSPUR_TEST_VIRTUAL_TIME_H

#include "crocusspur/types.h"

#include <cstdint>

namespace crocusspur::test {

// Differs from the clock's zero, which means "never".
inline const TimePoint Start = TimePoint() + std::chrono::hours(1);

inline TimePoint at(int64_t Ms) { return Start + Milliseconds(Ms); }

} // namespace crocusspur::test

#endif
