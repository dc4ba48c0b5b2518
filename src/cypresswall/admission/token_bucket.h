/// Token bucket rate limiter.
#pragma once

#include "cypresswall/common/time.h"

namespace cypresswall::admission {

/// A request that costs more than the bucket's capacity is admitted when the bucket is full. It
/// takes the level below zero, so that the average rate stays within the limit. A rate of zero
/// means no limit.
class TokenBucket {
 public:
  /// Sets rate (tokens per second) and capacity. The level is kept, but capped at the new capacity;
  /// a bucket that had no limit before starts full.
  void configure(double rate, double capacity, common::MonotonicTime now);
  bool limited() const { return rate_ > 0; }
  bool canTake(double cost, common::MonotonicTime now);
  void take(double cost);
  /// Reserves future allowance for the retry of a refused request, so that the retries of several
  /// refused requests are spread over time.
  /// \return time until a request of this cost can be admitted, given the earlier reservations
  common::Duration reserveRetry(double cost, common::MonotonicTime now);
  /// Removes the fraction `share` of the level if the level is at least half of the capacity.
  /// \return the amount removed, or zero
  double donate(double share, common::MonotonicTime now);
  /// Adds allowance donated by another node, even beyond the capacity.
  void credit(double amount) { level_ += amount; }
  double level(common::MonotonicTime now);

 private:
  void refill(common::MonotonicTime now);
  /// \return the lowest level at which a request of this cost is admitted
  double requiredLevel(double cost) const;

  double rate_ = 0;
  double capacity_ = 0;
  double level_ = 0;
  /// Allowance reserved for retries that are not due yet.
  double reserved_ = 0;
  common::MonotonicTime last_refill_{};
};

}  // namespace cypresswall::admission
