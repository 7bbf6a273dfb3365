#include "crocusspur/types.h"

#include <charconv>
#include <cstdio>

namespace crocusspur {

std::string RequestId::str() const {
  char buf[40];
  int n = std::snprintf(buf, sizeof buf, "%llx-%llx",
                        static_cast<unsigned long long>(Incarnation),
                        static_cast<unsigned long long>(Sequence));
  return std::string(buf, static_cast<size_t>(n));
}

RequestId RequestId::parse(const std::string &Text) {
  RequestId id;
  const char *end = Text.data() + Text.size();
  auto first = std::from_chars(Text.data(), end, id.Incarnation, 16);
  if (first.ec != std::errc() || first.ptr == end || *first.ptr != '-')
    return {};
  auto second = std::from_chars(first.ptr + 1, end, id.Sequence, 16);
  if (second.ec != std::errc() || second.ptr != end)
    return {};
  return id;
}

const char *toString(RequestKind Kind) {
  return Kind == RequestKind::Model ? "model" : "service";
}

const char *toString(RequestClass Class) {
  switch (Class) {
  case RequestClass::Interactive:
    return "interactive";
  case RequestClass::Normal:
    return "normal";
  case RequestClass::Batch:
    return "batch";
  }
  return "normal";
}

const char *toString(ExecutionState State) {
  switch (State) {
  case ExecutionState::No:
    return "no";
  case ExecutionState::Yes:
    return "yes";
  case ExecutionState::Unknown:
    return "unknown";
  }
  return "unknown";
}

} // namespace crocusspur
