/// How long decode steps really take, learnt from answers that were given whole.
#pragma once

#include <map>
#include <string>
#include <unordered_map>

#include "cypresswall/common/identifiers.h"
#include "cypresswall/routing/settings.h"

namespace cypresswall::routing {

/// Learns, by model, the factor between the time that output takes and what the engines' declared
/// or assumed steps promise. Pure state.
class OutputSpeedEstimator {
 public:
  explicit OutputSpeedEstimator(const OutputSpeedSettings& settings) : settings_(settings) {}

  /// The first token of an answer was received.
  /// \param promised seconds that the rest of the output should take; zero if it is too short to
  ///   tell of the time of a step
  void begin(const std::string& stream_id, const common::ModelName& model, double nominal,
             double now);
  /// The answer was given whole, at `now`.
  void complete(const std::string& stream_id, double now);
  /// The stream ended, in whatever way.
  void forget(const std::string& stream_id) { running_.erase(stream_id); }
  /// \return the factor on the promised time of a step
  double scale(const common::ModelName& model) const;
  /// \return seconds for which a stream that is seen running goes on, in the mean; zero until known
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
    /// Of all answers, whatever their length.
    double seconds = 0;
    double squared_seconds = 0;
  };

  OutputSpeedSettings settings_;
  std::unordered_map<std::string, Running> running_;
  std::map<common::ModelName, Sums> models_;
};

}  // namespace cypresswall::routing
