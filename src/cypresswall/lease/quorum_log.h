/// Replicates small state of the lease holder's modules to the zone's voters, from which the next
/// holder recovers it.
#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <string>

#include "cypresswall/lease/record_store.h"

namespace cypresswall::lease {

class QuorumLog {
 public:
  using Committed = std::function<void(bool committed)>;

  virtual ~QuorumLog() = default;
  /// Sets the value of a key under the current epoch. The callback is called exactly once, never
  /// before this call returns. It is called with true once a majority of the voters stores the
  /// value, so that every later holder recovers this value or a newer one. It is called with false
  /// if the lease was lost first; the value may still have been stored.
  virtual void replicate(RecordModule module, const std::string& key, std::string payload,
                         Committed committed) = 0;
  /// Removes a key. Best effort: a later holder may still recover it.
  virtual void erase(RecordModule module, const std::string& key) = 0;
  /// \return the records of one module by key; complete as soon as the lease is held.
  virtual std::map<std::string, std::string> records(RecordModule module) const = 0;
};

}  // namespace cypresswall::lease
