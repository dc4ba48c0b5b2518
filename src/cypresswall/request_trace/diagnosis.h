/// The outcome of a request and its most likely cause.
#pragma once

#include <string>

#include "cypresswall/request_trace/time_line.h"

namespace cypresswall::request_trace {

struct Diagnosis {
  std::string outcome;
  std::string cause;
};

/// Applies fixed rules to the available lines; makes no assumptions about missing lines.
Diagnosis diagnose(const TimeLine& time_line);

}  // namespace cypresswall::request_trace
