#include "address.h"

#include <Poco/Net/IPAddress.h>
#include <charconv>

namespace crocusspur::internal {
namespace {

bool isPort(const std::string &Text, bool AllowZero) {
  unsigned port = 0;
  const char *end = Text.data() + Text.size();
  auto it = std::from_chars(Text.data(), end, port);
  return it.ec == std::errc() && it.ptr == end && port <= 65535 &&
         (port > 0 || AllowZero);
}

} // namespace

bool isAddress(const std::string &Text, bool AllowPortZero) {
  size_t colon = Text.rfind(':');
  if (colon == std::string::npos ||
      !isPort(Text.substr(colon + 1), AllowPortZero))
    return false;
  std::string host = Text.substr(0, colon);
  bool bracketed = host.size() > 2 && host.front() == '[' && host.back() == ']';
  if (bracketed)
    host = host.substr(1, host.size() - 2);
  Poco::Net::IPAddress address;
  if (!Poco::Net::IPAddress::tryParse(host, address))
    return false;
  return bracketed == (address.family() == Poco::Net::IPAddress::IPv6);
}

} // namespace crocusspur::internal
