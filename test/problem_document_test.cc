#include "problem_document.h"

#include <Poco/JSON/Object.h>
#include <Poco/JSON/Parser.h>
#include <doctest/doctest.h>

using namespace crocusspur;
using namespace crocusspur::internal;

TEST_CASE("FormatProblem agrees with the error table for every kind") {
  for (size_t i = 0; i < ErrorKindCount; ++i) {
    auto kind = static_cast<ErrorKind>(i);
    const ErrorResponse &response = errorResponse(kind);
    std::string text =
        formatProblem(makeProblem(kind, "a \"detail\"", RequestId{1, 2}));
    Poco::JSON::Parser parser;
    auto object = parser.parse(text).extract<Poco::JSON::Object::Ptr>();
    CHECK(object->getValue<std::string>("type") == "about:blank");
    CHECK(object->getValue<int>("status") == response.Status);
    CHECK(object->getValue<std::string>("kind") == response.Name);
    CHECK(object->getValue<std::string>("title") == response.Title);
    CHECK(object->getValue<std::string>("run") == toString(response.Run));
    CHECK(object->getValue<std::string>("detail") == "a \"detail\"");
    CHECK(object->getValue<std::string>("request") == "1-2");
    CHECK(object->has("retry_after_ms") == response.RetryAdvised);
  }
}

TEST_CASE("Retry-After is in whole seconds, rounded up and at least one") {
  // Guards against callers that retry before the computed time.
  CHECK(retryAfterSeconds(Milliseconds(1)) == 1);
  CHECK(retryAfterSeconds(Milliseconds(1000)) == 1);
  CHECK(retryAfterSeconds(Milliseconds(1001)) == 2);
}
