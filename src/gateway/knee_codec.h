// Encoding of a server's durations by load in exchanges between instances:
// three bytes for each band of LoadBands, from the lowest load to the highest
// with samples. The first byte is the mean logarithm of the time for a unit of
// work, as a multiple of 0.03 of its difference from that of the summary, plus
// 128; the second the weight in sixteenths, 0 for a band without samples; the
// third the age in units of 250 ms, rounded up.
//
// Answers 600 servers of which 32 are described in a frame: 24 bytes for a
// server with loads up to 11.
#ifndef CROCUSSPUR_GATEWAY_KNEE_CODEC_H
#define CROCUSSPUR_GATEWAY_KNEE_CODEC_H

#include "gateway/decisions/placement/pace_table.h"

#include <cstddef>
#include <cstdint>
#include <span>
#include <vector>

namespace crocusspur::gateway {

// Returns no bytes if no band has samples. `UnitMs` is that of the summary.
std::vector<uint8_t> packLoadBands(const LoadBands &Bands, double UnitMs);

// Ignores bands beyond the last that this build knows, and an incomplete one.
LoadBands unpackLoadBands(std::span<const uint8_t> Bytes, double UnitMs);

} // namespace crocusspur::gateway

#endif
