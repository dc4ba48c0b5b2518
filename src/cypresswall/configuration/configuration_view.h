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
  /// Reads the engines anew from where they are declared.
  /// \param done called once, synchronously or later: with true once current() holds all engines
  ///   that were declared when refresh() was called; with false if that can't be found out
  // NOLINTNEXTLINE(performance-unnecessary-value-param): implementations keep the callback.
  virtual void refresh(std::function<void(bool current)> done) { done(false); }
};

}  // namespace cypresswall::configuration
