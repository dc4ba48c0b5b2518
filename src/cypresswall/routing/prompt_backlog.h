/// The long prompts that one engine was sent and has not computed yet, by all nodes of the zone as
/// far as they told, and the time at which it will be through with them. Pure state.
#pragma once

#include <cstdint>
#include <vector>

#include "cypresswall/common/time.h"

namespace cypresswall::routing {

/// Names one prompt sent to an engine, among all nodes of the zone.
using PromptKey = std::uint64_t;

/// An engine computes prompts in the order of their arrival, one at a time.
class PromptBacklog {
 public:
  /// \param seconds time that the engine needs for this prompt alone
  void add(PromptKey key, double started_at, double seconds);
  /// Takes out a prompt that was computed or given up.
  /// \return true if it was there
  bool remove(PromptKey key, double now);
  /// Takes out prompts that are overdue by more than `limit`: their end was not told.
  void expire(double now, double limit);

  bool holds(PromptKey key) const;
  bool empty() const { return prompts_.empty(); }
  /// \return when the last prompt will be computed; meaningless while empty
  double emptyAt() const;

 private:
  struct Prompt {
    PromptKey key = 0;
    double started_at = 0;
    double seconds = 0;
  };

  /// In the order of their start.
  std::vector<Prompt> prompts_;
  /// When the engine ended the prompt before the first of `prompts_`.
  double last_end_ = 0;
};

}  // namespace cypresswall::routing
