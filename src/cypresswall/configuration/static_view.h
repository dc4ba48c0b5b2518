/// A ConfigurationView that is set directly, for tests and programs without replication.
#pragma once

#include <utility>
#include <vector>

#include "cypresswall/configuration/configuration_view.h"

namespace cypresswall::configuration {

class StaticConfigurationView final : public ConfigurationView {
 public:
  explicit StaticConfigurationView(FleetConfiguration configuration = {})
      : current_(std::make_shared<const FleetConfiguration>(std::move(configuration))) {}

  std::shared_ptr<const FleetConfiguration> current() const override { return current_; }
  void onChange(std::function<void(const FleetConfiguration&)> listener) override {
    listeners_.push_back(std::move(listener));
  }

  void refresh(std::function<void(bool current)> done) override { done(true); }

  /// Replaces the configuration and calls the listeners.
  void set(FleetConfiguration configuration) {
    current_ = std::make_shared<const FleetConfiguration>(std::move(configuration));
    const auto held = current_;
    for (const auto& listener : listeners_) {
      listener(*held);
    }
  }

 private:
  std::shared_ptr<const FleetConfiguration> current_;
  std::vector<std::function<void(const FleetConfiguration&)>> listeners_;
};

}  // namespace cypresswall::configuration
