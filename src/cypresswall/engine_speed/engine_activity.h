/// Streams and prompts of an engine over time.
#pragma once

#include <algorithm>

namespace cypresswall::engine_speed {

/// Sums up to some point in time, from which the means over a span are derived.
struct ActivityMark {
  double at = 0;
  double stream_seconds = 0;
  double prompt_seconds = 0;
};

/// Integrates the number of streams of an engine, and sums the time that its prompts take.
class EngineActivity {
 public:
  void setStreams(double streams, double now) {
    advance(now);
    streams_ = streams;
  }
  void addPrompt(double seconds) { prompt_seconds_ += seconds; }
  ActivityMark mark(double now) {
    advance(now);
    return {at_, stream_seconds_, prompt_seconds_};
  }
  /// \return mean number of streams since `from`; at least 1, because one was being measured
  double meanStreams(const ActivityMark& from, double now) {
    advance(now);
    const double span = at_ - from.at;
    const double mean = span > 0 ? (stream_seconds_ - from.stream_seconds) / span : streams_;
    return std::max(1.0, mean);
  }
  double promptSeconds(const ActivityMark& from) const {
    return prompt_seconds_ - from.prompt_seconds;
  }
  double streams() const { return streams_; }

 private:
  void advance(double now) {
    stream_seconds_ += streams_ * std::max(0.0, now - at_);
    at_ = std::max(at_, now);
  }

  double at_ = 0;
  double streams_ = 0;
  double stream_seconds_ = 0;
  double prompt_seconds_ = 0;
};

}  // namespace cypresswall::engine_speed
