/// A rate limit that lets unused allowance be saved up.
#pragma once

#include "cypresswall/common/time.h"

namespace cypresswall::admission {

/// A token bucket. A request dearer than the bucket can ever hold is admitted when the bucket is
/// full and leaves it in debt, so that the rate holds on average. A rate of zero means no limit.
class TokenBucket {
 public:
  /// Sets rate (tokens a second) and capacity; what is saved is kept up to the capacity.
  void configure(double rate, double capacity, common::MonotonicTime now);
  bool limited() const { return rate_ > 0; }
  bool affords(double cost, common::MonotonicTime now);
  void take(double cost);
  /// Tells when a refused request of this cost may come again, later for each further refused one:
  /// what earlier ones were told to wait for is counted as taken.
  common::Duration promise(double cost, common::MonotonicTime now);
  /// Takes out `share` of what is saved, if that is at least half of the capacity.
  /// \return what was taken, else zero
  double giveAway(double share, common::MonotonicTime now);
  /// Adds what another node gave away, also beyond the capacity.
  void receive(double amount) { level_ += amount; }
  double level(common::MonotonicTime now);

 private:
  void refill(common::MonotonicTime now);
  /// What a request has to find in the bucket.
  double needed(double cost) const;

  double rate_ = 0;
  double capacity_ = 0;
  double level_ = 0;
  /// Allowance promised to refused requests that have not come due yet.
  double promised_ = 0;
  common::MonotonicTime refilled_{};
};

}  // namespace cypresswall::admission
