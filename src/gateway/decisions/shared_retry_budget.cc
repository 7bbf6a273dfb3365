#include "gateway/decisions/shared_retry_budget.h"

#include <algorithm>

namespace crocusspur::gateway {
namespace {

// Fraction of the allowance that is used. The rest covers windows that aren't
// aligned.
constexpr double UsableFraction = 0.7;
// Fraction of the fixed allowance in a process's first window, since the
// process that it replaces may have just used its own.
constexpr double FirstWindowFraction = 0.5;
constexpr Milliseconds Window{10000};

} // namespace

void SharedRetryBudget::onRequest(const std::string &Service, TimePoint Now) {
  Budgets[Service].onFirstAttempt(Now);
}

bool SharedRetryBudget::tryConsumeRetry(const std::string &Service,
                                        uint32_t Instances, TimePoint Now) {
  internal::RetryBudget &budget = Budgets[Service];
  double fixed = UsableFraction * Allowance.Fixed / std::max(Instances, 1U);
  if (Now - Start < Window)
    fixed *= FirstWindowFraction;
  double earned = UsableFraction * Allowance.Ratio * budget.firstAttempts(Now);
  return budget.takeRetry(Now, 0, static_cast<uint32_t>(fixed + earned));
}

} // namespace crocusspur::gateway
