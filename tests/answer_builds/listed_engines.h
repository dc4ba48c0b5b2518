/// The engines as each node of a simulated fleet reads them from the platform's store: a node that
/// is cut off from the store, or stands still, does not see what has changed meanwhile.
#pragma once

#include <deque>
#include <functional>
#include <memory>
#include <string>
#include <utility>
#include <vector>

#include "cypresswall/configuration/configuration_view.h"
#include "cypresswall/simulation/simulated_platform.h"
#include "cypresswall/simulation/simulated_process.h"

namespace cypresswall::testing {

/// The declarations so far. The store holds the number of the one in force.
class EngineLists {
 public:
  static constexpr const char* kKey = "listed-engines";

  /// Puts a declaration into force.
  void put(configuration::FleetConfiguration fleet, simulation::SimulatedPlatform& platform) {
    lists_.push_back(std::make_shared<const configuration::FleetConfiguration>(std::move(fleet)));
    object_store::ObjectWrite write;
    write.key = kKey;
    write.expected_version = lists_.size() - 1;
    write.value = std::to_string(lists_.size() - 1);
    write.change_id = "lists/" + write.value;
    platform.store().compareAndSet(std::move(write), [](const auto&) {});
  }
  std::shared_ptr<const configuration::FleetConfiguration> at(std::size_t number) const {
    return lists_.at(number);
  }

 private:
  std::deque<std::shared_ptr<const configuration::FleetConfiguration>> lists_;
};

/// What one node has read.
class ListedEngines final : public configuration::ConfigurationView {
 public:
  ListedEngines(const EngineLists& lists, const api::ProcessContext& context,
                object_store::ObjectStore& store)
      : lists_(lists),
        context_(context),
        store_(store),
        current_(std::make_shared<const configuration::FleetConfiguration>()) {
    context_.scheduler.schedule(common::Duration{0}, [this] { poll(); });
  }

  std::shared_ptr<const configuration::FleetConfiguration> current() const override {
    return current_;
  }
  void onChange(std::function<void(const configuration::FleetConfiguration&)> listener) override {
    listeners_.push_back(std::move(listener));
  }
  void refresh(std::function<void(bool current)> done) override {
    store_.get(EngineLists::kKey, [this, done = std::move(done)](const auto& result) {
      if (result.ok()) {
        adopt(std::stoul(result.value().value));
      }
      done(result.ok());
    });
  }

 private:
  static constexpr common::Duration kPollInterval = std::chrono::milliseconds(50);

  void poll() {
    refresh([this](bool /*current*/) {
      context_.scheduler.schedule(kPollInterval, [this] { poll(); });
    });
  }
  void adopt(std::size_t number) {
    const auto listed = lists_.at(number);
    if (listed == current_) {
      return;
    }
    current_ = listed;
    const auto held = current_;
    for (const auto& listener : listeners_) {
      listener(*held);
    }
  }

  const EngineLists& lists_;
  const api::ProcessContext& context_;
  object_store::ObjectStore& store_;
  std::shared_ptr<const configuration::FleetConfiguration> current_;
  std::vector<std::function<void(const configuration::FleetConfiguration&)>> listeners_;
};

}  // namespace cypresswall::testing
