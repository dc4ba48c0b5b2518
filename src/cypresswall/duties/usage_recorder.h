/// Where requests that begin to run are counted.
#pragma once

#include "cypresswall/common/identifiers.h"

namespace cypresswall::duties {

class UsageRecorder {
 public:
  virtual ~UsageRecorder() = default;
  /// A request of the tenant began to run on an engine or a back end.
  virtual void requestBegan(const common::TenantName& tenant) = 0;
};

}  // namespace cypresswall::duties
