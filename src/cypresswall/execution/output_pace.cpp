#include "cypresswall/execution/output_pace.h"

#include <algorithm>
#include <utility>

namespace cypresswall::execution {
namespace {

/// Largest ratio of the time that another engine needs to the time that the present one needs.
/// Between engines of nearly the same speed, a move only costs the computation of the prompt.
constexpr double kMaximumTimeRatio = 0.75;

common::Duration scaled(common::Duration duration, double factor) {
  return common::fromSeconds(common::toSeconds(duration) * factor);
}

}  // namespace

void OutputPace::tokenReceived(common::MonotonicTime now) {
  const auto previous = std::exchange(last_token_at_, now);
  if (!previous) {
    return;
  }
  ++current_.tokens;
  current_.duration += now - *previous;
  if (current_.duration >= kSpanDuration) {
    spans_[next_span_] = std::exchange(current_, {});
    next_span_ = (next_span_ + 1) % kMaximumSpans;
  }
}

std::optional<common::Duration> OutputPace::gap(common::MonotonicTime now) const {
  const auto observed = estimate({});
  if (!last_token_at_) {
    return observed;
  }
  const Span pause{1, now - *last_token_at_};
  return observed && pause.duration <= *observed ? observed : estimate(pause);
}

std::optional<common::Duration> OutputPace::estimate(const Span& newest) const {
  std::array<Span, kMaximumSpans + 2> recent;
  std::size_t count = 0;
  common::Duration total{0};
  const auto add = [&](const Span& span) {
    if (span.tokens > 0 && total < kWindow) {
      recent[count++] = span;
      total += span.duration;
    }
  };
  add(newest);
  add(current_);
  for (std::size_t age = 1; age <= kMaximumSpans; ++age) {
    add(spans_[(next_span_ + kMaximumSpans - age) % kMaximumSpans]);
  }
  if (total < kWindow) {
    return std::nullopt;
  }
  std::sort(recent.begin(), recent.begin() + count, [](const Span& left, const Span& right) {
    return left.duration * right.tokens > right.duration * left.tokens;
  });
  common::Duration skipped{0};
  std::size_t first = 0;
  while (first < count && skipped + recent[first].duration <= kToleratedPause) {
    skipped += recent[first++].duration;
  }
  std::uint32_t tokens = 0;
  for (std::size_t index = first; index < count; ++index) {
    tokens += recent[index].tokens;
  }
  return (total - skipped) / tokens;
}

common::Duration StreamOutlook::remaining() const { return scaled(gap, tokens_left); }

bool isTooSlow(const StreamOutlook& outlook) {
  if (outlook.time_left) {
    return outlook.remaining() > *outlook.time_left;
  }
  return outlook.between_tokens_limit > common::Duration{0} &&
         outlook.gap > outlook.between_tokens_limit;
}

bool completesInTime(const StreamOutlook& outlook, const ContinuationOffer& offer) {
  const common::Duration needed = offer.first_token + scaled(offer.gap, outlook.tokens_left);
  if (needed > scaled(outlook.remaining(), kMaximumTimeRatio)) {
    return false;
  }
  return outlook.time_left ? needed <= *outlook.time_left
                           : offer.gap <= outlook.between_tokens_limit;
}

}  // namespace cypresswall::execution
