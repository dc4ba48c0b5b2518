#include "cypresswall/admission/token_bucket.h"

#include <algorithm>

namespace cypresswall::admission {
namespace {

/// Fraction of its capacity below which a bucket donates nothing.
constexpr double kMinimumDonorShare = 0.5;
/// Tolerance, in tokens, for rounding errors of repeated refills. Without it, a caller that waited
/// for its Retry-After could be refused again.
constexpr double kTolerance = 1e-6;

}  // namespace

void TokenBucket::configure(double rate, double capacity, common::MonotonicTime now) {
  if (rate == rate_ && capacity == capacity_) {
    return;
  }
  const bool newly_limited = rate_ <= 0;
  refill(now);
  rate_ = rate;
  capacity_ = capacity;
  level_ = newly_limited ? capacity : std::min(level_, capacity);
  last_refill_ = now;
}

void TokenBucket::refill(common::MonotonicTime now) {
  const double gained = rate_ * common::toSeconds(now - last_refill_);
  last_refill_ = now;
  reserved_ = std::max(0.0, reserved_ - gained);
  if (level_ < capacity_) {
    level_ = std::min(capacity_, level_ + gained);
  }
}

double TokenBucket::requiredLevel(double cost) const { return std::min(cost, capacity_); }

bool TokenBucket::canTake(double cost, common::MonotonicTime now) {
  if (!limited()) {
    return true;
  }
  refill(now);
  return level_ + kTolerance >= requiredLevel(cost);
}

void TokenBucket::take(double cost) {
  if (limited()) {
    level_ -= cost;
  }
}

common::Duration TokenBucket::reserveRetry(double cost, common::MonotonicTime now) {
  refill(now);
  const double missing = std::max(0.0, requiredLevel(cost) - level_) + reserved_;
  reserved_ += cost;
  return common::fromSeconds(missing / rate_);
}

double TokenBucket::donate(double share, common::MonotonicTime now) {
  if (!limited()) {
    return 0;
  }
  refill(now);
  if (level_ < capacity_ * kMinimumDonorShare) {
    return 0;
  }
  const double given = level_ * share;
  level_ -= given;
  return given;
}

double TokenBucket::level(common::MonotonicTime now) {
  refill(now);
  return level_;
}

}  // namespace cypresswall::admission
