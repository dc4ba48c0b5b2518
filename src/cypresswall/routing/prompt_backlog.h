/// The long prompts that one engine was sent and has not computed yet, by all nodes of the zone as
/// far as they told, and the time at which it will be through with them. Pure state.
#pragma once

#include <cstdint>
#include <optional>
#include <vector>

#include "cypresswall/common/time.h"

namespace cypresswall::routing {

/// Names one prompt sent to an engine, among all nodes of the zone.
using PromptKey = std::uint64_t;

/// Since when an engine was busy with a prompt that just ended.
struct BusyTime {
  double seconds = 0;
  /// The engine had nothing before it: the stretch began when the prompt was sent, and holds its
  /// time on the way.
  bool includes_latency = false;
};

/// An engine computes prompts in the order of their arrival, one at a time.
class PromptBacklog {
 public:
  /// \param seconds time for which this prompt occupies the engine
  void add(PromptKey key, double started_at, double seconds);
  /// \return for how long the engine has been busy with this prompt alone, or nothing if that can't
  ///   be told: others are before it, or the one before it was given up
  std::optional<BusyTime> busyTimeOf(PromptKey key, double now) const;
  /// Takes out a prompt that was computed or given up.
  /// \return true if it was there
  bool remove(PromptKey key, double now, bool computed);
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
    /// No other prompt was there when this one came.
    bool alone = false;
  };

  /// In the order of their start.
  std::vector<Prompt> prompts_;
  /// When the engine ended the prompt before the first of `prompts_`.
  double last_end_ = 0;
  /// That prompt was computed, at a moment that was told.
  bool last_end_known_ = false;
};

}  // namespace cypresswall::routing
