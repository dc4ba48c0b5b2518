/// Interface for counting requests that start to run.
#pragma once

#include "cypresswall/common/identifiers.h"

namespace cypresswall::duties {

class UsageRecorder {
 public:
  virtual ~UsageRecorder() = default;
  /// Counts a request of the tenant that started to run on an engine or a back end.
  virtual void requestBegan(const common::TenantName& tenant) = 0;
};

}  // namespace cypresswall::duties
