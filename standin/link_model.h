// Model of one end of a server's KV link: transfers are serialized at the
// link's rate.
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

  // Scales the rate of transfers that start from now on; 0 stalls them.
  void setFactor(double Value) { Factor = Value; }

  // Adds a transfer and returns the time until it completes.
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
