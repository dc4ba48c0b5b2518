#include "cypresswall/emulation/machine_list.h"

#include <utility>

namespace cypresswall::emulation {

void EmulatedMachineList::fetch(const common::ZoneName& zone,
                                platform::MachineListCallback callback) {
  scheduler_.schedule(common::Duration{0}, [this, zone, callback = std::move(callback)] {
    if (down_) {
      callback(common::Failure<platform::MachineListFailure>{
          platform::MachineListFailure::kUnavailable, "machine list is down"});
      return;
    }
    callback(visible(zone));
  });
}

void EmulatedMachineList::set(platform::Machine machine) {
  auto& changes = changes_[machine.name];
  changes.push_back({clock_.now(), std::move(machine)});
  while (changes.size() > 1 && changes[1].made_at + lag_ <= clock_.now()) {
    changes.pop_front();
  }
}

void EmulatedMachineList::setAtOnce(platform::Machine machine) {
  auto& changes = changes_[machine.name];
  changes.clear();
  changes.push_back({common::MonotonicTime::min() + lag_, std::move(machine)});
}

std::vector<platform::Machine> EmulatedMachineList::visible(const common::ZoneName& zone) const {
  std::vector<platform::Machine> machines;
  for (const auto& [name, changes] : changes_) {
    const Change* newest = nullptr;
    for (const Change& change : changes) {
      if (change.made_at <= clock_.now() - lag_) {
        newest = &change;
      }
    }
    if (newest != nullptr && (zone.empty() || newest->machine.zone == zone)) {
      machines.push_back(newest->machine);
    }
  }
  return machines;
}

}  // namespace cypresswall::emulation
