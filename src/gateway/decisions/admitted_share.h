// Share of the requests that are admitted while more are wanted than can be
// served. Does no I/O.
#ifndef CROCUSSPUR_GATEWAY_ADMITTED_SHARE_H
#define CROCUSSPUR_GATEWAY_ADMITTED_SHARE_H

#include <algorithm>

namespace crocusspur::gateway {

class AdmittedShare {
public:
  double value() const { return Value; }
  void reset() { Value = 1; }
  // Moves towards AdmittedPerSuccess requests for each one that is expected to
  // succeed. `Chance`: of success, for an admitted request.
  void move(double Chance) {
    double wanted = std::clamp(AdmittedPerSuccess * Value * Chance, Least, 1.0);
    Value += Step * (wanted - Value);
  }

private:
  // The surplus finds out when more can be served.
  static constexpr double AdmittedPerSuccess = 1.3;
  static constexpr double Least = 0.125;
  // The chance rises only after a lower share has taken effect, so larger steps
  // make the share oscillate.
  static constexpr double Step = 0.5;

  double Value = 1;
};

} // namespace crocusspur::gateway

#endif
