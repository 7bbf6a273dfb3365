#include "patch_report.h"

#include "problem_document.h"

namespace crocusspur::internal {

std::string describePatchRejection(const PatchResult &Result) {
  std::string current = std::to_string(Result.CurrentVersion);
  if (Result.Error == ErrorKind::StaleBase)
    return "the patch was written against an older version; version " +
           current + " is in force";
  std::string text;
  for (const Diagnostic &it : Result.Diagnostics.Diagnostics)
    text += (text.empty() ? "" : "\n") + it.str();
  return text;
}

std::string formatPatchRejection(const PatchResult &Result) {
  Problem problem =
      makeProblem(Result.Error, describePatchRejection(Result), RequestId());
  std::string text = formatProblem(problem);
  size_t end = text.rfind('}');
  text.insert(end,
              ",\"current_version\":" + std::to_string(Result.CurrentVersion));
  return text;
}

} // namespace crocusspur::internal
