#include "tests/properties/configuration/configuration_history.h"

#include <algorithm>

namespace cypresswall::testing {

ConfigurationHistory::ConfigurationHistory(simulation::SimulatedFleet& fleet) : fleet_(fleet) {
  sampleAll();
}

void ConfigurationHistory::sampleAll() {
  for (std::size_t index = 0; index < fleet_.nodeCount(); ++index) {
    if (fleet_.running(index)) {
      sampleNode(fleet_.slot(index));
    }
  }
  if (fleet_.simulation().network().anyCut()) {
    cuts_.push_back(fleet_.time().now());
  }
  fleet_.time().schedule(kPeriod, [this] { sampleAll(); });
}

void ConfigurationHistory::sampleNode(const simulation::NodeSlot& slot) {
  const auto configuration = slot.node->configuration().current();
  auto& samples = samples_[slot.process->id()];
  const std::uint64_t before = samples.empty() ? 0 : samples.back().version;
  if (configuration->version < before) {
    violations_.push_back(slot.process->id().toString() + " went back from version " +
                          std::to_string(before) + " to " + std::to_string(configuration->version));
  }
  if (configuration->version != before) {
    std::string tenants;
    for (const auto& [name, tenant] : configuration->tenants) {
      tenants += name + ' ';
    }
    const auto known = contents_.emplace(configuration->version, tenants).first;
    if (known->second != tenants) {
      violations_.push_back("version " + std::to_string(configuration->version) +
                            " has two contents: " + known->second + "and " + tenants);
    }
  }
  samples.push_back({fleet_.time().now(), configuration->version, !slot.process->paused()});
}

bool ConfigurationHistory::inForceEverywhere(std::uint64_t version, common::MonotonicTime from,
                                             common::MonotonicTime to) const {
  return std::all_of(samples_.begin(), samples_.end(), [&](const auto& entry) {
    const auto& samples = entry.second;
    const auto inTime = [&](const Sample& sample) { return sample.at >= from && sample.at <= to; };
    const auto first = std::find_if(samples.begin(), samples.end(), inTime);
    const auto last = std::find_if(samples.rbegin(), samples.rend(), inTime);
    if (first == samples.begin() || last == samples.rbegin() || first == samples.end()) {
      return true;
    }
    const bool awake = std::all_of(first, last.base(), [](const Sample& s) { return s.awake; });
    return !awake || last->version >= version;
  });
}

bool ConfigurationHistory::cutWithin(common::MonotonicTime from, common::MonotonicTime to) const {
  return std::any_of(cuts_.begin(), cuts_.end(),
                     [&](common::MonotonicTime at) { return at >= from && at <= to; });
}

}  // namespace cypresswall::testing
