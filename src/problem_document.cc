#include "problem_document.h"

#include "json_text.h"

#include <algorithm>
#include <utility>

namespace crocusspur::internal {

Problem makeProblem(ErrorKind Kind, std::string Detail, const RequestId &Id) {
  const ErrorResponse &response = errorResponse(Kind);
  return {Kind, response.Run, Milliseconds(response.RetryAdvised ? 1000 : 0),
          std::move(Detail), Id};
}

std::string formatProblem(const Problem &Item) {
  const ErrorResponse &response = errorResponse(Item.Kind);
  std::string text = "{\"type\":\"about:blank\",\"title\":";
  appendJsonString(text, response.Title);
  text += ",\"status\":" + std::to_string(response.Status);
  text += ",\"kind\":\"" + std::string(response.Name) + "\",\"run\":\"" +
          toString(Item.Run) + "\",\"detail\":";
  appendJsonString(text, Item.Detail);
  text += ",\"request\":\"";
  if (Item.Id != RequestId())
    text += Item.Id.str();
  text += "\"";
  if (Item.RetryAfter.count() > 0)
    text += ",\"retry_after_ms\":" + std::to_string(Item.RetryAfter.count());
  return text + "}";
}

uint64_t retryAfterSeconds(Milliseconds RetryAfter) {
  auto seconds = std::chrono::ceil<std::chrono::seconds>(RetryAfter).count();
  return static_cast<uint64_t>(std::max<int64_t>(seconds, 1));
}

} // namespace crocusspur::internal
