/// Small state that modules of the lease holder keep on the zone's voters, so that the next holder
/// finds it.
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
  /// Sets the value of a key under the epoch held. The callback is called exactly once: true when a
  /// majority of the voters keeps it, so that every later holder finds it or a newer value; false
  /// when the lease was lost first (it may still be kept). Never called before the call returns.
  virtual void replicate(RecordModule module, const std::string& key, std::string payload,
                         Committed committed) = 0;
  /// Forgets a key. Best effort: a later holder may find the key once more.
  virtual void erase(RecordModule module, const std::string& key) = 0;
  /// \return what the holder knows of one module, by key; complete as soon as the lease is held.
  virtual std::map<std::string, std::string> records(RecordModule module) const = 0;
};

}  // namespace cypresswall::lease
