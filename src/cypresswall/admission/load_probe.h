/// Interface through which admission control learns the load on a model's engines.
#pragma once

#include "cypresswall/common/identifiers.h"
#include "cypresswall/common/time.h"
#include "cypresswall/configuration/fleet.h"

namespace cypresswall::admission {

class LoadProbe {
 public:
  virtual ~LoadProbe() = default;
  /// \return fraction of the requests of this urgency to admit, 0 to 1
  virtual double admittedShare(const common::ModelName& model,
                               configuration::Urgency urgency) const = 0;
  /// \return estimated time until the model's engines accept requests again, used as Retry-After;
  ///   zero if none of the model's requests was refused for overload
  virtual common::Duration drainTime(const common::ModelName& model) const = 0;
};

}  // namespace cypresswall::admission
