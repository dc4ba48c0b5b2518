#include "cypresswall/duties/duty_platform.h"

namespace cypresswall::duties {

const char* toString(std::optional<DutyFailure> failure) {
  if (!failure) {
    return "none";
  }
  switch (*failure) {
    case DutyFailure::kUnavailable:
      return "unavailable";
    case DutyFailure::kUnknownOutcome:
      return "unknown_outcome";
    case DutyFailure::kSuperseded:
      return "superseded";
    case DutyFailure::kNoneAvailable:
      return "none_available";
    case DutyFailure::kInvalid:
      return "invalid";
  }
  return "unknown";
}

}  // namespace cypresswall::duties
