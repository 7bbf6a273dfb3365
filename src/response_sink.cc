#include "response_sink.h"

namespace crocusspur::internal {

bool writeAnswer(ResponseSink &Sink, AnswerHead Head, std::string_view Body) {
  Head.HasLength = true;
  Head.Length = Body.size();
  return Sink.begin(Head) && (Body.empty() || Sink.write(Body)) &&
         Sink.end(true);
}

bool writeProblem(ResponseSink &Sink, const Problem &Item) {
  AnswerHead head;
  head.Status = static_cast<uint32_t>(errorResponse(Item.Kind).Status);
  head.ContentType = ProblemType;
  head.RetryAfter = Item.RetryAfter;
  return writeAnswer(Sink, head, formatProblem(Item));
}

} // namespace crocusspur::internal
