#include "ticket.h"

#include "digest.h"

#include <charconv>
#include <cstdio>

namespace crocusspur::internal {
namespace {

const std::string Prefix = "cst1.";
constexpr size_t SignatureDigits = 32;
constexpr size_t HashBlock = 64; // SHA-256's block size in bytes

std::string digestOf(const std::string &Text) {
  Sha256Digest digest = sha256(Text);
  return std::string(digest.begin(), digest.end());
}

std::string padded(uint64_t Secret, char Mask) {
  std::string block(HashBlock, Mask);
  for (size_t i = 0; i < sizeof Secret; ++i)
    block[i] = static_cast<char>(Mask ^ static_cast<char>(Secret >> (8 * i)));
  return block;
}

// HMAC of RFC 2104.
std::string signature(const std::string &Text, uint64_t Secret) {
  std::string inner = digestOf(padded(Secret, 0x36) + Text);
  std::string digest = digestOf(padded(Secret, 0x5c) + inner);
  std::string digits;
  for (size_t i = 0; i < SignatureDigits / 2; ++i) {
    char buf[3];
    std::snprintf(buf, sizeof buf, "%02x",
                  static_cast<unsigned>(static_cast<unsigned char>(digest[i])));
    digits += buf;
  }
  return digits;
}

std::string hex(uint64_t Number) {
  char buf[17];
  std::snprintf(buf, sizeof buf, "%llx",
                static_cast<unsigned long long>(Number));
  return buf;
}

// Removes the last field of the text and parses it as a hexadecimal number.
bool takeNumber(std::string &Text, uint64_t &Number) {
  size_t dot = Text.rfind('.');
  if (dot == std::string::npos)
    return false;
  const char *end = Text.data() + Text.size();
  auto read = std::from_chars(Text.data() + dot + 1, end, Number, 16);
  bool whole = read.ec == std::errc() && read.ptr == end;
  Text.resize(dot);
  return whole;
}

// Constant-time comparison: takes the same time for every wrong signature of
// the right length.
bool equal(const std::string &A, const std::string &B) {
  if (A.size() != B.size())
    return false;
  int difference = 0;
  for (size_t i = 0; i < A.size(); ++i)
    difference |= A[i] ^ B[i];
  return difference == 0;
}

} // namespace

bool hasTicketPrefix(const std::string &Key) {
  return Key.compare(0, Prefix.size(), Prefix) == 0;
}

std::string formatTicket(const Ticket &Item, uint64_t Secret) {
  std::string text = Prefix + Item.Instance + "." + hex(Item.Incarnation) +
                     "." + hex(Item.Nonce);
  return text + "." + signature(text, Secret);
}

bool parseTicket(const std::string &Text, uint64_t Secret, Ticket &Item) {
  if (!hasTicketPrefix(Text) || Text.size() < Prefix.size() + SignatureDigits)
    return false;
  std::string head = Text.substr(0, Text.size() - SignatureDigits - 1);
  if (!equal(Text.substr(head.size()), "." + signature(head, Secret)))
    return false;
  head.erase(0, Prefix.size());
  if (!takeNumber(head, Item.Nonce) || !takeNumber(head, Item.Incarnation))
    return false;
  Item.Instance = head;
  return true;
}

} // namespace crocusspur::internal
