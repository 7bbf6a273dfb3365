#include "gateway/decisions/content_fingerprint.h"
#include "platform/http_codec.h"

#include <doctest/doctest.h>

using namespace crocusspur;
using namespace crocusspur::gateway;

namespace {

// The fingerprint that a request with these header fields gets.
uint64_t fingerprintWith(HeaderFields Fields, const std::string &Body) {
  internal::HttpHead head;
  head.Method = "POST";
  head.Target = "/a/b?c=d";
  head.Fields = std::move(Fields);
  CallerRequest request = platform::makeHttpCodec().ParseRequestHead(head);
  return fingerprintOf({request.Host, request.Method, request.Target, Body});
}

} // namespace

TEST_CASE(
    "A repeated request has the same fingerprint in spite of its header") {
  uint64_t first = fingerprintWith({{"Host", "a.example"},
                                    {"Attempt-Id", "9c41"},
                                    {"Deadline-Ms", "14000"},
                                    {"Content-Length", "5"}},
                                   "hello");
  uint64_t again = fingerprintWith({{"Transfer-Encoding", "chunked"},
                                    {"Deadline-Ms", "900"},
                                    {"Attempt-Id", "77aa"},
                                    {"host", "a.example"}},
                                   "hello");
  CHECK(first == again);
}

TEST_CASE("Fingerprints differ with each part and with their boundaries") {
  uint64_t one = fingerprintOf({"a.example", "POST", "/x", "body"});
  CHECK(one != fingerprintOf({"b.example", "POST", "/x", "body"}));
  CHECK(one != fingerprintOf({"a.example", "PUT", "/x", "body"}));
  CHECK(one != fingerprintOf({"a.example", "POST", "/y", "body"}));
  CHECK(one != fingerprintOf({"a.example", "POST", "/x", "other"}));
  CHECK(one != fingerprintOf({"a.example", "POST", "/xb", "ody"}));
  CHECK(one != 0);
  CHECK(fingerprintText(one).size() == 16);
}
