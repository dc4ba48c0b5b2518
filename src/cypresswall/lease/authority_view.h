/// Read access to the zone's lease, whose holder may give orders to the zone's engines.
#pragma once

#include <functional>
#include <optional>

#include "cypresswall/common/identifiers.h"

namespace cypresswall::lease {

class AuthorityView {
 public:
  virtual ~AuthorityView() = default;
  /// \return the epoch under which this node holds the lease by its clock, or nothing if it does
  ///   not hold the lease. To be called immediately before each action that needs the lease, since
  ///   the lease may have expired while the process was paused.
  virtual std::optional<common::Epoch> heldEpoch() const = 0;
  /// \return the node that holds the lease as far as this node knows; where the lease is held only
  ///   while it is needed, the node that would acquire it. Empty if none is known.
  virtual common::NodeId believedHolder() const = 0;
  /// Calls `listener` with the epoch when this node acquires the lease, and with nothing when it
  /// loses the lease.
  virtual void onChange(std::function<void(std::optional<common::Epoch>)> listener) = 0;
  /// \return the highest epoch that this node knows of.
  virtual common::Epoch highestEpoch() const { return heldEpoch().value_or(common::Epoch{}); }
  /// Tells the lease whether this node has orders to give to engines. A lease that is held only
  /// while it is needed is acquired and renewed only then; a lease that is held permanently ignores
  /// this.
  virtual void setNeeded(bool /*needed*/) {}
  /// To be called when an engine refused an order of this epoch because the engine had accepted an
  /// order of a later epoch.
  virtual void superseded(const common::Epoch& /*epoch*/) {}
};

}  // namespace cypresswall::lease
