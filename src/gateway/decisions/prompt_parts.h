// Identifies parts of prompts, which requests with different contents share.
#ifndef CROCUSSPUR_GATEWAY_PROMPT_PARTS_H
#define CROCUSSPUR_GATEWAY_PROMPT_PARTS_H

#include <cstdint>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace crocusspur::gateway {

// The same on every instance: the value of the part's id, which is hexadecimal,
// or a hash of it if that exceeds 64 bits.
using PromptPartKey = uint64_t;

// Returns nothing if the id isn't hexadecimal.
std::optional<PromptPartKey> promptPartKey(std::string_view Id);

// Parts of one prompt that are considered. Callers write the list, and each
// part costs memory while the request runs.
inline constexpr size_t MaxPromptParts = 64;

// Returns the keys of the parts that other requests may share, each once and at
// most MaxPromptParts: all but the last, which belongs to the request itself or
// to its session. `Ids`: of all parts in order; those that aren't hexadecimal
// are skipped.
std::vector<PromptPartKey>
sharedPromptParts(std::span<const std::string_view> Ids);

// The form of a key in logs.
std::string promptPartText(PromptPartKey Key);
// The first few keys, separated by commas.
std::string promptPartsText(std::span<const PromptPartKey> Keys);

} // namespace crocusspur::gateway

#endif
