/// Hash over all events of a simulated run so far. Equal digests indicate identical runs.
#pragma once

#include <cstdint>
#include <string_view>

#include "cypresswall/common/time.h"

namespace cypresswall::simulation {

class EventDigest {
 public:
  /// Adds one event.
  /// \param what kind of event, such as "deliver"
  /// \param number any number that tells events of the same kind apart
  void add(common::MonotonicTime when, std::string_view what, std::uint64_t number,
           std::string_view content = {});
  std::uint64_t value() const { return value_; }
  std::uint64_t events() const { return events_; }

 private:
  std::uint64_t value_ = 0;
  std::uint64_t events_ = 0;
};

}  // namespace cypresswall::simulation
