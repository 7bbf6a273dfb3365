#include "gateway/decisions/repeat_budget.h"

#include <algorithm>

namespace crocusspur::gateway {
namespace {

// Part of the allowance that is spent. The rest covers windows that don't
// align and instances that have ended with their counts.
constexpr double SpentPart = 0.7;

} // namespace

void RepeatBudget::onRequest(const std::string &Service, TimePoint Now) {
  Services[Service].onFirstAttempt(Now);
}

bool RepeatBudget::takeRepeat(const std::string &Service, uint32_t Instances,
                              TimePoint Now) {
  auto floor = static_cast<uint32_t>(SpentPart * Allowance.Fixed /
                                     std::max(Instances, 1U));
  return Services[Service].takeRetry(Now, SpentPart * Allowance.Ratio, floor);
}

} // namespace crocusspur::gateway
