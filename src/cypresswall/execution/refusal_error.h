/// Mapping of admission refusals to the error kinds reported to callers.
#pragma once

#include "cypresswall/admission/admission.h"
#include "cypresswall/execution/outcome.h"

namespace cypresswall::execution {

ErrorKind errorKindOf(admission::RefusalReason reason);

}  // namespace cypresswall::execution
