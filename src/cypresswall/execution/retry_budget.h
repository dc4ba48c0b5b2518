/// Limits how much extra load retries may put on back ends.
#pragma once

#include <cstdint>

#include "cypresswall/common/random.h"
#include "cypresswall/common/time.h"
#include "cypresswall/execution/execution_settings.h"

namespace cypresswall::execution {

/// A token bucket over all requests of the node: each request pays in a share of a retry, each
/// retry takes out a whole one.
class RetryBudget {
 public:
  explicit RetryBudget(const ExecutionSettings& settings);
  void requestStarted();
  /// \return true if a retry could be paid for now
  bool available() const { return saved_ >= 1; }
  /// \return false, taking nothing, if the budget is spent
  bool withdraw();

 private:
  const double share_;
  const double burst_;
  double saved_;
};

/// \param retry number of the retry, from 1
/// \return the pause before it, with jitter; zero before the first
common::Duration backoffBefore(std::uint32_t retry, const ExecutionSettings& settings,
                               common::RandomSource& random);

}  // namespace cypresswall::execution
