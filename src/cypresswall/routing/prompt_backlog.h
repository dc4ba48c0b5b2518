/// The long prompts that were sent to one engine, by this node or by peers that announced them, and
/// are not computed yet, and the time at which the engine will have computed them all. Has no clock
/// and does no I/O.
#pragma once

#include <cstdint>
#include <optional>
#include <vector>

#include "cypresswall/common/time.h"

namespace cypresswall::routing {

/// Identifies a prompt sent to an engine, unique among all nodes of the zone.
using PromptKey = std::uint64_t;

/// How long an engine was busy with one prompt.
struct BusyTime {
  double seconds = 0;
  /// The engine was idle before: the time counts from sending the prompt and includes its network
  /// latency.
  bool includes_latency = false;
};

/// Assumes that an engine computes prompts one at a time in order of arrival.
class PromptBacklog {
 public:
  /// \param seconds time for which this prompt occupies the engine
  void add(PromptKey key, double started_at, double seconds);
  /// \return how long the engine has been busy with this prompt alone. Empty if unknown: other
  ///   prompts are before it, or the previous one was abandoned.
  std::optional<BusyTime> busyTimeOf(PromptKey key, double now) const;
  /// Removes a prompt that was computed or abandoned.
  /// \return true if it was present
  bool remove(PromptKey key, double now, bool computed);
  /// Removes prompts overdue by more than `limit`, whose end notice must have been lost.
  void expire(double now, double limit);

  bool holds(PromptKey key) const;
  bool empty() const { return prompts_.empty(); }
  /// \return when the last prompt will be computed; not meaningful while empty
  double emptyAt() const;

 private:
  struct Prompt {
    PromptKey key = 0;
    double started_at = 0;
    double seconds = 0;
    /// The backlog was empty when this prompt was added.
    bool alone = false;
  };

  /// In order of their start.
  std::vector<Prompt> prompts_;
  /// When the engine finished the prompt before the first of `prompts_`.
  double last_end_ = 0;
  /// That prompt is known to have been computed at that time.
  bool last_end_known_ = false;
};

}  // namespace cypresswall::routing
