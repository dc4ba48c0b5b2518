/// How a refusal of the admission controller is told to the caller.
#pragma once

#include "cypresswall/admission/admission.h"
#include "cypresswall/execution/outcome.h"

namespace cypresswall::execution {

ErrorKind errorKindOf(admission::RefusalReason reason);

}  // namespace cypresswall::execution
