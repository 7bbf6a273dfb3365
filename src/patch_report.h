// Formats the result of checking a patch for operators, over HTTP and on the
// command line.
#ifndef CROCUSSPUR_PATCH_REPORT_H
#define CROCUSSPUR_PATCH_REPORT_H

#include "config_state.h"

#include <string>

namespace crocusspur::internal {

// Problem document for a rejected patch, with the field `current_version`.
std::string formatPatchRejection(const PatchResult &Result);

// One line for each reason of the rejection.
std::string describePatchRejection(const PatchResult &Result);

} // namespace crocusspur::internal

#endif
