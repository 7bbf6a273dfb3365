// Model of one end of a server's KV link: transfers queue at its rate.
#ifndef STANDIN_LINK_MODEL_H
#define STANDIN_LINK_MODEL_H

#include <algorithm>
#include <chrono>

namespace standin {

// Not thread-safe.
class LinkModel {
public:
  using TimePoint = std::chrono::steady_clock::time_point;

  explicit LinkModel(double BytesPerSecond) : BytesPerSecond(BytesPerSecond) {}

  // 0 stalls transfers that start from now on.
  void setFactor(double Value) { Factor = Value; }

  // Enters a transfer and returns the time until it is over.
  std::chrono::microseconds transfer(double Bytes, TimePoint Now) {
    double rate = BytesPerSecond * Factor;
    if (rate <= 0)
      return std::chrono::hours(1);
    std::chrono::microseconds length(static_cast<int64_t>(Bytes / rate * 1e6));
    BusyUntil = std::max(BusyUntil, Now) + length;
    return std::chrono::duration_cast<std::chrono::microseconds>(BusyUntil -
                                                                 Now);
  }

private:
  double BytesPerSecond;
  double Factor = 1;
  TimePoint BusyUntil{};
};

} // namespace standin

#endif
