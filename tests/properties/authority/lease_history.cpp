#include "tests/properties/authority/lease_history.h"

namespace cypresswall::testing {

LeaseHistory::LeaseHistory(simulation::SimulatedFleet& fleet) : fleet_(fleet) {
  fleet_.simulation().onResume([this](simulation::SimulatedProcess& process) {
    for (std::size_t index = 0; index < fleet_.nodeCount(); ++index) {
      if (fleet_.slot(index).process == &process) {
        sampleNode(fleet_.slot(index));
      }
    }
  });
  sampleAll();
}

void LeaseHistory::sampleAll() {
  for (std::size_t index = 0; index < fleet_.nodeCount(); ++index) {
    if (fleet_.running(index) && !fleet_.slot(index).process->paused()) {
      sampleNode(fleet_.slot(index));
    }
  }
  fleet_.time().schedule(kPeriod, [this] { sampleAll(); });
}

void LeaseHistory::sampleNode(const simulation::NodeSlot& slot) {
  const auto epoch = slot.node->authority().heldEpoch();
  if (!epoch) {
    return;
  }
  const auto now = fleet_.time().now();
  Zone& zone = zones_[slot.zone];
  const auto& self = slot.process->id();
  if (zone.holder == self && zone.highest == *epoch) {
    zone.last_held = now;
    return;
  }
  if (*epoch <= zone.highest) {
    violations_.push_back(simulation::zoneName(slot.zone) + ": " + self.toString() +
                          " holds epoch " + epoch->toString() + " after " + zone.holder.toString() +
                          " held " + zone.highest.toString());
    return;
  }
  if (!zone.holder.empty()) {
    ++changes_;
    gaps_.push_back(now - zone.last_held);
  }
  zone = Zone{*epoch, self, now};
}

bool LeaseHistory::everyZoneHasHolder() const {
  std::map<std::uint32_t, int> holders;
  for (std::size_t index = 0; index < fleet_.nodeCount(); ++index) {
    const auto& slot = fleet_.slot(index);
    holders[slot.zone] += fleet_.running(index) && slot.node->authority().heldEpoch() ? 1 : 0;
  }
  for (const auto& [zone, count] : holders) {
    if (count != 1) {
      return false;
    }
  }
  return true;
}

}  // namespace cypresswall::testing
