/// Read access to the zone's lease: who may give orders to the zone's engines.
#pragma once

#include <functional>
#include <optional>

#include "cypresswall/common/identifiers.h"

namespace cypresswall::lease {

class AuthorityView {
 public:
  virtual ~AuthorityView() = default;
  /// Asks the clock: the epoch under which this node may act right now, or nothing. Must be called
  /// directly before every act that needs authority, since the process may have been paused.
  virtual std::optional<common::Epoch> heldEpoch() const = 0;
  /// \return the node that holds the lease or, where the lease is held only while it is needed, the
  ///   one that takes it then, as far as this node knows; empty if none is known.
  virtual common::NodeId believedHolder() const = 0;
  /// Calls `listener` when this node gains (with the epoch) or loses (nothing) the lease.
  virtual void onChange(std::function<void(std::optional<common::Epoch>)> listener) = 0;
  /// \return the highest epoch that this node knows of.
  virtual common::Epoch highestEpoch() const { return heldEpoch().value_or(common::Epoch{}); }
  /// Tells whether this node has something to order. A lease that is always held ignores it.
  virtual void setNeeded(bool /*needed*/) {}
  /// An engine refused an order of this epoch since it obeys a later one.
  virtual void superseded(const common::Epoch& /*epoch*/) {}
};

}  // namespace cypresswall::lease
