/// Read access to the configuration in force on this node.
#pragma once

#include <functional>
#include <memory>

#include "cypresswall/configuration/fleet.h"

namespace cypresswall::configuration {

class ConfigurationView {
 public:
  virtual ~ConfigurationView() = default;
  /// \return the newest configuration; version 0 before the first one is received. Never null.
  virtual std::shared_ptr<const FleetConfiguration> current() const = 0;
  /// Calls `listener` after each change of current(). Listeners are never removed.
  virtual void onChange(std::function<void(const FleetConfiguration&)> listener) = 0;
};

}  // namespace cypresswall::configuration
