#include "run_log.h"

#include <Poco/JSON/Stringifier.h>
#include <sstream>
#include <utility>

namespace standin {
namespace {

constexpr size_t MaxRecords = 200000;

std::string quoted(const std::string &Text) {
  std::ostringstream out;
  Poco::JSON::Stringifier::stringify(Text, out);
  return out.str();
}

std::string countsJson(const std::map<std::string, uint64_t> &Counts) {
  std::string text;
  for (const auto &it : Counts)
    text += (text.empty() ? "" : ",") + quoted(it.first) + ":" +
            std::to_string(it.second);
  return "{" + text + "}";
}

std::string recordJson(const RunRecord &Record) {
  std::ostringstream out;
  out << "{\"number\":" << Record.Number << ",\"kind\":" << quoted(Record.Kind)
      << ",\"request\":" << quoted(Record.Request)
      << ",\"attempt\":" << Record.Attempt
      << ",\"group\":" << quoted(Record.Group)
      << ",\"priority\":" << Record.Priority << ",\"fence\":" << Record.Fence
      << ",\"prompt_tokens\":" << Record.PromptTokens
      << ",\"cached_tokens\":" << Record.CachedTokens
      << ",\"output_tokens\":" << Record.OutputTokens
      << ",\"first_index\":" << Record.FirstIndex
      << ",\"started_ms\":" << Record.StartedMs
      << ",\"ended_ms\":" << Record.EndedMs
      << ",\"outcome\":" << quoted(Record.Outcome) << "}";
  return out.str();
}

} // namespace

uint64_t RunLog::start(RunRecord Record) {
  Record.Number = ++LastNumber;
  ++Totals[Record.Kind + "_started"];
  Records.push_back(std::move(Record));
  if (Records.size() > MaxRecords)
    Records.pop_front();
  return LastNumber;
}

RunRecord *RunLog::find(uint64_t Number) {
  if (Records.empty() || Number < Records.front().Number ||
      Number > Records.back().Number)
    return nullptr;
  return &Records[Number - Records.front().Number];
}

void RunLog::finish(uint64_t Number, const std::string &Outcome,
                    int64_t NowMs) {
  RunRecord *record = find(Number);
  if (!record)
    return;
  record->Outcome = Outcome;
  if (record->EndedMs == 0)
    record->EndedMs = NowMs;
  ++Totals[record->Kind + "_" + Outcome];
  if (record->Kind == "decode")
    Totals["tokens"] += record->OutputTokens;
}

void RunLog::addOrder(const std::string &Kind, const std::string &Argument,
                      uint64_t Fence) {
  Orders += (Orders.empty() ? "" : ",");
  Orders += "{\"kind\":" + quoted(Kind) + ",\"argument\":" + quoted(Argument) +
            ",\"fence\":" + std::to_string(Fence) + "}";
}

std::string RunLog::json(uint64_t After, const std::string &Held) const {
  std::string runs;
  for (const RunRecord &it : Records)
    if (it.Number > After)
      runs += (runs.empty() ? "" : ",") + recordJson(it);
  return "{\"totals\":" + countsJson(Totals) +
         ",\"refused\":" + countsJson(Refused) + ",\"held\":[" + Held +
         "],\"orders\":[" + Orders + "],\"runs\":[" + runs + "]}";
}

} // namespace standin
