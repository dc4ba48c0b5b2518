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
  /// \return the holder that this node believes in; empty if none is known.
  virtual common::NodeId believedHolder() const = 0;
  /// Calls `listener` when this node gains (with the epoch) or loses (nothing) the lease.
  virtual void onChange(std::function<void(std::optional<common::Epoch>)> listener) = 0;
};

}  // namespace cypresswall::lease
