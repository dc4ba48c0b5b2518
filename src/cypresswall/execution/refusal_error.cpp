#include "cypresswall/execution/refusal_error.h"

namespace cypresswall::execution {

ErrorKind errorKindOf(admission::RefusalReason reason) {
  switch (reason) {
    case admission::RefusalReason::kTenantRequestLimit:
    case admission::RefusalReason::kTenantTokenLimit:
    case admission::RefusalReason::kTenantQuota:
      return ErrorKind::kTenantLimit;
    case admission::RefusalReason::kFairShare:
    case admission::RefusalReason::kShedding:
      return ErrorKind::kOverloaded;
    case admission::RefusalReason::kDraining:
      return ErrorKind::kDraining;
  }
  return ErrorKind::kOverloaded;
}

}  // namespace cypresswall::execution
