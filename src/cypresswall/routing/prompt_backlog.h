/// The long prompts that one engine was sent and has not computed yet. Includes prompts that this
/// node sent and those announced by peers. Estimates when the engine will have computed all of
/// them. Has no clock and does no I/O; times are in seconds.
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
  /// True if the engine had no other long prompt when this one was sent: `seconds` then counts from
  /// the sending of the prompt and includes its network latency.
  bool includes_latency = false;
};

/// Assumes that an engine computes prompts one at a time in order of arrival.
class PromptBacklog {
 public:
  /// \param seconds time for which this prompt occupies the engine
  void add(PromptKey key, double started_at, double seconds);
  /// \return how long the engine has been computing this prompt. Empty if unknown: other prompts
  ///   precede this one, or the end of the previous one was not observed, or came before this one
  ///   was sent.
  std::optional<BusyTime> busyTimeOf(PromptKey key, double now) const;
  /// Removes a prompt that was computed or abandoned.
  /// \return true if it was present
  bool remove(PromptKey key, double now, bool computed);
  /// Removes prompts that should have been computed more than `limit` seconds ago: the notice of
  /// their end must have been lost.
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
    /// True if the backlog was empty when this prompt was added.
    bool alone = false;
  };

  /// In order of their start.
  std::vector<Prompt> prompts_;
  /// When the engine finished the prompt that preceded the first entry of `prompts_`.
  double last_end_ = 0;
  /// True if that prompt is known to have been computed at `last_end_`; false if it was abandoned
  /// or expired.
  bool last_end_known_ = false;
};

}  // namespace cypresswall::routing
