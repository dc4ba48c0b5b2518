/// Follows how fast the output of a running stream arrives, and decides whether the stream should
/// be moved to another engine to complete in time.
#pragma once

#include <array>
#include <cstddef>
#include <cstdint>
#include <optional>

#include "cypresswall/common/time.h"

namespace cypresswall::execution {

/// The time between two tokens of a stream over its last seconds. Robust to a single pause: the
/// slowest spans, up to kToleratedPause in total, are left out. Has no clock and does no I/O; a
/// token costs a few comparisons.
class OutputPace {
 public:
  /// Output that must have been observed before a pace is known; older output is forgotten.
  static constexpr common::Duration kWindow = std::chrono::milliseconds(1500);
  /// Engines that share their machine, or that compute the prompts of other requests, pause for
  /// about half a second now and then. Such a pause also covers parts of the spans at its ends.
  static constexpr common::Duration kToleratedPause = std::chrono::milliseconds(750);

  /// Drops what was observed.
  void reset() { *this = OutputPace(); }
  /// Leaves out the time until the next token, because output is not being read.
  void interrupt() { last_token_at_.reset(); }
  void tokenReceived(common::MonotonicTime now);
  /// \return the mean time between two tokens, including a pause that has not ended at `now`; empty
  ///   if less than kWindow of output was observed
  std::optional<common::Duration> gap(common::MonotonicTime now) const;

 private:
  /// Consecutive tokens and the time in which they arrived.
  struct Span {
    std::uint32_t tokens = 0;
    common::Duration duration{0};
  };
  /// \param newest counted as the newest span; ignored without tokens
  std::optional<common::Duration> estimate(const Span& newest) const;

  static constexpr common::Duration kSpanDuration = std::chrono::milliseconds(100);
  static constexpr std::size_t kMaximumSpans = 16;

  std::array<Span, kMaximumSpans> spans_;
  std::size_t next_span_ = 0;
  Span current_;
  std::optional<common::MonotonicTime> last_token_at_;
};

/// What is known of a running stream when its pace is judged.
struct StreamOutlook {
  common::Duration gap{0};
  /// Expected number of tokens still to come.
  double tokens_left = 0;
  /// Empty if the answer has no deadline.
  std::optional<common::Duration> time_left;
  /// Zero if there is no limit.
  common::Duration between_tokens_limit{0};

  common::Duration remaining() const;
};

/// What another engine is expected to need for the rest of a stream.
struct ContinuationOffer {
  common::Duration first_token{0};
  common::Duration gap{0};
};

/// \return true if the stream is expected to miss its deadline or, without a deadline, if its
///   tokens keep arriving further apart than the limit between tokens
bool isTooSlow(const StreamOutlook& outlook);

/// \return true if the other engine is expected to complete the answer in time, and clearly earlier
///   than the present one. Without a deadline, it must keep the limit between
///   tokens.
bool completesInTime(const StreamOutlook& outlook, const ContinuationOffer& offer);

}  // namespace cypresswall::execution
