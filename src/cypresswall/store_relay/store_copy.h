/// A node's copy of the objects of one topic of the platform's store. Implemented by the platform's
/// adapter.
#pragma once

#include <cstdint>
#include <vector>

#include "cypresswall/store_relay/messages.h"

namespace cypresswall::store_relay {

class StoreCopy {
 public:
  virtual ~StoreCopy() = default;
  /// \return revision up to which all changes are known; zero before the first listing
  virtual std::uint64_t revision() const = 0;
  /// Called when the store has begun a new incarnation. The copy is outdated: revision() is zero
  /// until all objects have been read anew or applied. The objects stay in use meanwhile.
  virtual void beginIncarnation() = 0;
  /// \return true while a call to the store is in flight or scheduled
  virtual bool callPending() const = 0;
  /// Requests the changes after revision() from the store immediately, or all objects if revision()
  /// is zero. The request replaces a pending long poll.
  virtual void fetchFromStore() = 0;
  /// \return all objects as of revision(), for a peer that has no copy
  virtual std::vector<StoreChange> allObjects() const = 0;
  /// \return level of the sample that the copy holds (see ObjectSample)
  virtual std::uint32_t sampleLevel() const { return 0; }
  /// \return true if the sample was enlarged and the copy of all its objects is still awaited
  virtual bool incomplete() const { return false; }
  /// Adopts the level of a peer's sample before the peer's changes are applied. If the peer keeps
  /// more objects than this copy, the copy is incomplete: revision() is then zero until all objects
  /// have been applied.
  virtual void adoptSampleLevel(std::uint32_t /*level*/) {}
  /// Applies changes read by a peer: all changes after revision() up to `revision`.
  /// \return false if none were applied because a change builds on a version that is not held here
  virtual bool applyPeerChanges(const std::vector<StoreChange>& changes,
                                std::uint64_t revision) = 0;
};

}  // namespace cypresswall::store_relay
