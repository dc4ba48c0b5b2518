/// The outcome of a request and its most likely cause.
#pragma once

#include <string>

#include "cypresswall/request_trace/time_line.h"

namespace cypresswall::request_trace {

struct Diagnosis {
  std::string outcome;
  std::string cause;
};

/// Derives outcome and cause from the available lines by fixed rules. Nothing is assumed about what
/// missing lines may have said.
Diagnosis diagnose(const TimeLine& time_line);

}  // namespace cypresswall::request_trace
