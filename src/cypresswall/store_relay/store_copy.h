/// A node's copy of one topic of the platform's store, as the platform's adapter keeps it.
#pragma once

#include <cstdint>
#include <vector>

#include "cypresswall/store_relay/messages.h"

namespace cypresswall::store_relay {

class StoreCopy {
 public:
  virtual ~StoreCopy() = default;
  /// \return revision up to which everything is known; zero before the first listing
  virtual std::uint64_t revision() const = 0;
  /// \return true while a call to the store is under way or will follow by itself
  virtual bool callPending() const = 0;
  /// Asks the store at once for what changed, in place of a call that waits there; for everything
  /// if nothing is known yet.
  virtual void fetchFromStore() = 0;
  /// \return all objects as of revision(), for a node that has none
  virtual std::vector<StoreChange> allObjects() const = 0;
  /// Takes what a peer read: all changes after revision() up to `revision`.
  /// \return false if nothing was taken: a change builds on a version that is not held here
  virtual bool applyPeerChanges(const std::vector<StoreChange>& changes,
                                std::uint64_t revision) = 0;
};

}  // namespace cypresswall::store_relay
