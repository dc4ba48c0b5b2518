/// Interface for counting requests that start to run.
#pragma once

#include "cypresswall/common/identifiers.h"

namespace cypresswall::duties {

class UsageRecorder {
 public:
  virtual ~UsageRecorder() = default;
  /// Counts one request of the tenant. To be called once for each request, when it has started to
  /// run on an engine or a back end.
  virtual void requestBegan(const common::TenantName& tenant) = 0;
};

}  // namespace cypresswall::duties
