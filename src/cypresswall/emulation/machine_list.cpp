#include "cypresswall/emulation/machine_list.h"

#include <utility>

namespace cypresswall::emulation {

void EmulatedMachineList::fetch(const common::ZoneName& zone,
                                object_store::MachineListCallback callback) {
  scheduler_.schedule(common::Duration{0}, [this, zone, callback = std::move(callback)] {
    if (down_) {
      callback(common::Failure<object_store::MachineListFailure>{
          object_store::MachineListFailure::kUnavailable, "machine list is down"});
      return;
    }
    callback(visible(zone));
  });
}

void EmulatedMachineList::set(object_store::Machine machine) {
  auto& changes = changes_[machine.name];
  changes.push_back({clock_.now(), std::move(machine)});
  while (changes.size() > 1 && changes[1].made_at + lag_ <= clock_.now()) {
    changes.pop_front();
  }
}

void EmulatedMachineList::setWithoutLag(object_store::Machine machine) {
  auto& changes = changes_[machine.name];
  changes.clear();
  changes.push_back({common::MonotonicTime::min() + lag_, std::move(machine)});
}

std::vector<object_store::Machine> EmulatedMachineList::visible(
    const common::ZoneName& zone) const {
  std::vector<object_store::Machine> machines;
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
