#include "gateway/decisions/prompt_parts.h"

#include <algorithm>
#include <array>
#include <charconv>
#include <xxhash.h>

namespace crocusspur::gateway {
namespace {

constexpr size_t MaxLoggedParts = 8;

char toLower(char Char) {
  return Char >= 'A' && Char <= 'F' ? static_cast<char>(Char - 'A' + 'a')
                                    : Char;
}

} // namespace

std::optional<PromptPartKey> promptPartKey(std::string_view Id) {
  if (Id.empty() ||
      Id.find_first_not_of("0123456789abcdefABCDEF") != std::string_view::npos)
    return std::nullopt;
  PromptPartKey key = 0;
  auto result = std::from_chars(Id.data(), Id.data() + Id.size(), key, 16);
  if (result.ec == std::errc())
    return key;
  std::string text(Id.substr(Id.find_first_not_of('0')));
  std::ranges::transform(text, text.begin(), toLower);
  return XXH64(text.data(), text.size(), 0);
}

std::vector<PromptPartKey>
sharedPromptParts(std::span<const std::string_view> Ids) {
  std::vector<PromptPartKey> keys;
  for (size_t i = 0; i + 1 < Ids.size() && keys.size() < MaxPromptParts; ++i) {
    std::optional<PromptPartKey> key = promptPartKey(Ids[i]);
    if (key && std::ranges::find(keys, *key) == keys.end())
      keys.push_back(*key);
  }
  return keys;
}

std::string promptPartText(PromptPartKey Key) {
  std::array<char, 16> buf{};
  auto result = std::to_chars(buf.data(), buf.data() + buf.size(), Key, 16);
  return {buf.data(), result.ptr};
}

std::string promptPartsText(std::span<const PromptPartKey> Keys) {
  std::string text;
  for (size_t i = 0; i < Keys.size() && i < MaxLoggedParts; ++i)
    text += (i == 0 ? "" : ",") + promptPartText(Keys[i]);
  return Keys.size() > MaxLoggedParts ? text + ",..." : text;
}

} // namespace crocusspur::gateway
