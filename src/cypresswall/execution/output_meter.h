/// Measures how fast the output of one attempt arrives.
#pragma once

#include "cypresswall/common/time.h"
#include "cypresswall/routing/router.h"

namespace cypresswall::execution {

/// Collects the tokens of an attempt into samples (see routing::OutputSample). A sample covers the
/// time from the first token, or from the end of the previous sample, to its last token. Has no
/// clock and costs a few comparisons per token.
class OutputMeter {
 public:
  /// Drops what was collected; the next token is the first one of an attempt.
  void reset() { *this = OutputMeter(); }
  /// Does not count the time until the next token, because output is not being read.
  void interrupt() { interrupted_ = true; }
  /// \return true if the collected output should be taken now
  bool tokenReceived(common::MonotonicTime now);
  /// \return the output collected since the previous call
  routing::OutputSample take();

 private:
  bool begun_ = false;
  bool interrupted_ = false;
  common::MonotonicTime last_token_at_{};
  routing::OutputSample sample_;
};

}  // namespace cypresswall::execution
