#include "cypresswall/execution/outcome.h"

namespace cypresswall::execution {

const char* toString(Outcome outcome) {
  switch (outcome) {
    case Outcome::kDone:
      return "done";
    case Outcome::kNotRun:
      return "not-run";
    case Outcome::kUnknown:
      return "unknown";
  }
  return "unknown";
}

}  // namespace cypresswall::execution
