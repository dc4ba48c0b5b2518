#include "cypresswall/admission/token_bucket.h"

#include <algorithm>

namespace cypresswall::admission {
namespace {

/// Below this part of its capacity a bucket gives nothing away.
constexpr double kKeptShare = 0.5;
/// Rounding errors of repeated refills must not refuse a caller that waited as told.
constexpr double kTolerance = 1e-6;

}  // namespace

void TokenBucket::configure(double rate, double capacity, common::MonotonicTime now) {
  if (rate == rate_ && capacity == capacity_) {
    return;
  }
  const bool fresh = rate_ <= 0;
  refill(now);
  rate_ = rate;
  capacity_ = capacity;
  level_ = fresh ? capacity : std::min(level_, capacity);
  refilled_ = now;
}

void TokenBucket::refill(common::MonotonicTime now) {
  const double gained = rate_ * common::toSeconds(now - refilled_);
  refilled_ = now;
  promised_ = std::max(0.0, promised_ - gained);
  if (level_ < capacity_) {
    level_ = std::min(capacity_, level_ + gained);
  }
}

double TokenBucket::needed(double cost) const { return std::min(cost, capacity_); }

bool TokenBucket::affords(double cost, common::MonotonicTime now) {
  if (!limited()) {
    return true;
  }
  refill(now);
  return level_ + kTolerance >= needed(cost);
}

void TokenBucket::take(double cost) {
  if (limited()) {
    level_ -= cost;
  }
}

common::Duration TokenBucket::promise(double cost, common::MonotonicTime now) {
  refill(now);
  const double missing = std::max(0.0, needed(cost) - level_) + promised_;
  promised_ += cost;
  return common::fromSeconds(missing / rate_);
}

double TokenBucket::giveAway(double share, common::MonotonicTime now) {
  if (!limited()) {
    return 0;
  }
  refill(now);
  if (level_ < capacity_ * kKeptShare) {
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
