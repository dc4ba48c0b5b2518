/// Learns the actual duration of decode steps, and the duration of answers, from completed answers.
#pragma once

#include <map>
#include <string>
#include <unordered_map>

#include "cypresswall/common/identifiers.h"
#include "cypresswall/routing/settings.h"

namespace cypresswall::routing {

/// Learns, per model, the ratio of the measured output time to the nominal output time, which is
/// calculated from the engines' declared or assumed step durations. Has no clock and does no I/O.
class OutputSpeedEstimator {
 public:
  explicit OutputSpeedEstimator(const OutputSpeedSettings& settings) : settings_(settings) {}

  /// Records that the first token of an answer was received.
  /// \param nominal nominal seconds for the rest of the output; zero if the answer must not be used
  ///   to learn the duration of steps, for example because the output is too short
  void begin(const std::string& stream_id, const common::ModelName& model, double nominal,
             double now);
  /// Records that the answer was completed at `now`.
  void complete(const std::string& stream_id, double now);
  /// Drops a stream that has ended, completely or not.
  void forget(const std::string& stream_id) { running_.erase(stream_id); }
  /// \return the factor on the nominal duration of a step
  double scale(const common::ModelName& model) const;
  /// \return expected remaining seconds of a running stream; zero until an answer was completed, or
  ///   if this is not learned
  double remainingSeconds(const common::ModelName& model) const;

 private:
  struct Running {
    common::ModelName model;
    double nominal = 0;
    double began_at = 0;
  };
  struct Sums {
    double nominal = 0;
    double measured = 0;
    /// Durations of all answers, including those too short to measure a step.
    double seconds = 0;
    /// Squares of these durations.
    double squared_seconds = 0;
  };

  OutputSpeedSettings settings_;
  std::unordered_map<std::string, Running> running_;
  std::map<common::ModelName, Sums> models_;
};

}  // namespace cypresswall::routing
