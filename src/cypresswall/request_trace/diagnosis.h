/// What came of a request, and why most likely.
#pragma once

#include <string>

#include "cypresswall/request_trace/time_line.h"

namespace cypresswall::request_trace {

struct Diagnosis {
  std::string outcome;
  std::string cause;
};

/// A judgement by rules from what the lines tell; lines that are missing are not guessed.
Diagnosis diagnose(const TimeLine& time_line);

}  // namespace cypresswall::request_trace
