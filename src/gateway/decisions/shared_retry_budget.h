// Retry budget shared by all instances without communication: each instance may
// use what its own requests earn and its share of the fixed allowance. Does no
// I/O; callers pass the time.
#ifndef CROCUSSPUR_GATEWAY_SHARED_RETRY_BUDGET_H
#define CROCUSSPUR_GATEWAY_SHARED_RETRY_BUDGET_H

#include "retry_budget.h"

#include <map>
#include <string>

namespace crocusspur::gateway {

struct RetryAllowance {
  double Ratio = 0.1;  // of the requests for a service
  uint32_t Fixed = 10; // for all instances together per window

  bool operator==(const RetryAllowance &) const = default;
};

class SharedRetryBudget {
public:
  SharedRetryBudget(RetryAllowance Allowance, TimePoint Start)
      : Allowance(Allowance), Start(Start) {}

  void setAllowance(RetryAllowance Value) { Allowance = Value; }
  void onRequest(const std::string &Service, TimePoint Now);
  // Counts one retry and returns true if it is within the budget.
  bool tryConsumeRetry(const std::string &Service, uint32_t Instances,
                       TimePoint Now);

private:
  RetryAllowance Allowance;
  TimePoint Start; // of this process
  std::map<std::string, internal::RetryBudget> Budgets;
};

} // namespace crocusspur::gateway

#endif
