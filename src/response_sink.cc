#include "response_sink.h"

namespace crocusspur::internal {

bool writeResponse(ResponseSink &Sink, ResponseHead Head,
                   std::string_view Body) {
  Head.HasLength = true;
  Head.Length = Body.size();
  return Sink.begin(Head) && (Body.empty() || Sink.write(Body)) &&
         Sink.end(true);
}

bool writeProblem(ResponseSink &Sink, const Problem &Item) {
  ResponseHead head;
  head.Status = static_cast<uint32_t>(errorResponse(Item.Kind).Status);
  head.ContentType = ProblemType;
  head.RetryAfter = Item.RetryAfter;
  return writeResponse(Sink, head, formatProblem(Item));
}

} // namespace crocusspur::internal
