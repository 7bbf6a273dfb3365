// Responses to model requests in the OpenAI format.
#ifndef CROCUSSPUR_OPENAI_FORMAT_H
#define CROCUSSPUR_OPENAI_FORMAT_H

#include "crocusspur/types.h"

#include <string>
#include <string_view>

namespace crocusspur::internal {

// Texts are the escaped content of JSON strings, as engines send them.
class OpenAiFormat {
public:
  OpenAiFormat(const RequestId &Id, const std::string &Model, bool Chat,
               uint64_t CreatedSeconds);

  // Appends one event of a stream with the text of some tokens.
  void appendChunk(std::string &Out, std::string_view RawText) const;
  // Appends the last event and `[DONE]`.
  void appendEnd(std::string &Out, const char *FinishReason) const;
  // Returns a complete, non-streaming response.
  std::string completeResponse(std::string_view RawText,
                               const char *FinishReason, uint32_t PromptTokens,
                               uint64_t OutputTokens) const;

private:
  bool Chat;
  std::string CommonFields; // id, created and model
  std::string ChunkPrefix;  // of a stream event, up to the text
};

// Appends an error event to a stream that can't be completed.
void appendErrorEvent(std::string &Out, const std::string &ProblemText);

} // namespace crocusspur::internal

#endif
