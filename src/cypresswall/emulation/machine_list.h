/// Emulation of the platform's machine list, in which changes become visible only after a lag.
#pragma once

#include <deque>
#include <map>
#include <string>

#include "cypresswall/common/time.h"
#include "cypresswall/object_store/machine_list.h"

namespace cypresswall::emulation {

class EmulatedMachineList final : public object_store::MachineList {
 public:
  /// \param lag time until a change becomes visible to readers
  EmulatedMachineList(common::Duration lag, const common::Clock& clock,
                      common::Scheduler& scheduler)
      : lag_(lag), clock_(clock), scheduler_(scheduler) {}

  void fetch(const common::ZoneName& zone, object_store::MachineListCallback callback) override;

  /// Adds or replaces a machine. Readers see the change after the lag.
  void set(object_store::Machine machine);
  /// Adds or replaces a machine. Readers see the change immediately.
  void setWithoutLag(object_store::Machine machine);
  void setLag(common::Duration lag) { lag_ = lag; }
  void setDown(bool down) { down_ = down; }
  /// \return the machines of `zone` as readers see them now, ordered by name; the machines of all
  ///   zones if `zone` is empty.
  std::vector<object_store::Machine> visible(const common::ZoneName& zone) const;

 private:
  struct Change {
    common::MonotonicTime made_at;
    object_store::Machine machine;
  };

  common::Duration lag_;
  const common::Clock& clock_;
  common::Scheduler& scheduler_;
  bool down_ = false;
  std::map<common::MachineName, std::deque<Change>> changes_;
};

}  // namespace cypresswall::emulation
