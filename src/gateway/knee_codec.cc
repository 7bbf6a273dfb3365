#include "gateway/knee_codec.h"

#include <algorithm>
#include <cmath>

namespace crocusspur::gateway {
namespace {

constexpr size_t BytesPerBand = 3;
constexpr double UnitStep = 0.03;
constexpr double ZeroUnit = 128;
constexpr double WeightStep = 1.0 / 16;
constexpr double AgeStepMs = 250;

uint8_t byteOf(double Value) {
  return static_cast<uint8_t>(std::clamp(Value, 0.0, 255.0));
}

} // namespace

std::vector<uint8_t> packLoadBands(const LoadBands &Bands, double UnitMs) {
  std::vector<uint8_t> bytes;
  if (!(UnitMs > 0) || !std::isfinite(UnitMs))
    return bytes;
  size_t used = 0;
  for (const LoadBand &it : Bands) {
    uint8_t weight = byteOf(std::round(it.Weight / WeightStep));
    bytes.push_back(
        byteOf(std::round((it.Unit - std::log(UnitMs)) / UnitStep + ZeroUnit)));
    bytes.push_back(weight);
    bytes.push_back(
        byteOf(std::ceil(static_cast<double>(it.Age.count()) / AgeStepMs)));
    if (weight > 0)
      used = bytes.size();
  }
  bytes.resize(used);
  return bytes;
}

LoadBands unpackLoadBands(std::span<const uint8_t> Bytes, double UnitMs) {
  LoadBands bands;
  if (!(UnitMs > 0) || !std::isfinite(UnitMs))
    return bands;
  size_t count = std::min(Bytes.size() / BytesPerBand, bands.size());
  for (size_t i = 0; i < count; ++i) {
    const uint8_t *it = &Bytes[i * BytesPerBand];
    bands[i] = {std::log(UnitMs) + (it[0] - ZeroUnit) * UnitStep,
                it[1] * WeightStep,
                Milliseconds(static_cast<int64_t>(it[2] * AgeStepMs))};
  }
  return bands;
}

} // namespace crocusspur::gateway
