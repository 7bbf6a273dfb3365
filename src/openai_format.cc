#include "openai_format.h"

#include "json_text.h"

namespace crocusspur::internal {

OpenAiFormat::OpenAiFormat(const RequestId &Id, const std::string &Model,
                           bool Chat, uint64_t CreatedSeconds)
    : Chat(Chat) {
  CommonFields = std::string("\"id\":\"") + (Chat ? "chatcmpl-" : "cmpl-") +
                 Id.str() + "\",\"created\":" + std::to_string(CreatedSeconds) +
                 ",\"model\":" + jsonString(Model);
  ChunkPrefix = "data: {" + CommonFields + ",\"object\":\"" +
                (Chat ? "chat.completion.chunk" : "text_completion") +
                "\",\"choices\":[{\"index\":0,";
}

void OpenAiFormat::appendChunk(std::string &Out,
                               std::string_view RawText) const {
  Out += ChunkPrefix;
  Out += Chat ? "\"delta\":{\"content\":\"" : "\"text\":\"";
  Out += RawText;
  Out += Chat ? "\"},\"finish_reason\":null}]}\n\n"
              : "\",\"finish_reason\":null}]}\n\n";
}

void OpenAiFormat::appendEnd(std::string &Out, const char *FinishReason) const {
  Out += ChunkPrefix;
  Out += Chat ? "\"delta\":{}" : "\"text\":\"\"";
  Out += ",\"finish_reason\":\"" + std::string(FinishReason) +
         "\"}]}\n\ndata: [DONE]\n\n";
}

std::string OpenAiFormat::completeResponse(std::string_view RawText,
                                           const char *FinishReason,
                                           uint32_t PromptTokens,
                                           uint64_t OutputTokens) const {
  std::string text = "{" + CommonFields + ",\"object\":\"" +
                     (Chat ? "chat.completion" : "text_completion") +
                     "\",\"choices\":[{\"index\":0,";
  text += Chat ? "\"message\":{\"role\":\"assistant\",\"content\":\""
               : "\"text\":\"";
  text += RawText;
  text += Chat ? "\"}" : "\"";
  text += ",\"finish_reason\":\"" + std::string(FinishReason) + "\"}],";
  return text + "\"usage\":{\"prompt_tokens\":" + std::to_string(PromptTokens) +
         ",\"completion_tokens\":" + std::to_string(OutputTokens) +
         ",\"total_tokens\":" + std::to_string(PromptTokens + OutputTokens) +
         "}}";
}

void appendErrorEvent(std::string &Out, const std::string &ProblemText) {
  Out += "event: error\ndata: " + ProblemText + "\n\n";
}

} // namespace crocusspur::internal
