/// Estimates demand rates per model over a short and a long window, from the counts that the zone's
/// nodes report. Uses sums that decay exponentially, so that the memory per model is constant.
#pragma once

#include <cstdint>
#include <map>
#include <string>

#include "cypresswall/common/time.h"
#include "cypresswall/planning/demand_counter.h"
#include "cypresswall/planning/planner.h"

namespace cypresswall::planning {

/// Time constants of the exponential decay: the weight of a count falls to 1/e after the length of
/// the window.
struct DemandSettings {
  common::Duration short_window = std::chrono::seconds(10);
  common::Duration long_window = std::chrono::seconds(60);
};

class DemandEstimator {
 public:
  DemandEstimator(const DemandSettings& settings, common::MonotonicTime now)
      : settings_(settings), started_at_(now) {}

  /// Adds the counts that one node gathered since its previous report.
  void add(const common::ModelName& model, const DemandCount& count, common::MonotonicTime now);
  /// \return the rates of a model; zero if it was never requested.
  ModelDemand demand(const common::ModelName& model, common::MonotonicTime now) const;
  /// \return the rates of all models, as msgpack bytes for restore()
  std::string encode(common::MonotonicTime now) const;
  /// Takes over rates that were observed before this estimator was created: from then on it counts
  /// as having observed them until its creation.
  /// \return false, without a change, if the bytes are malformed or contain impossible rates
  bool restore(const std::string& bytes);
  /// \return true once the short window has been observed in full.
  bool warm(common::MonotonicTime now) const { return now - started_at_ >= settings_.short_window; }

 private:
  /// Sums whose contributions decay exponentially with age.
  struct DecayingSum {
    double requests = 0;
    double prefill_tokens = 0;
    double decode_tokens = 0;
    double long_requests = 0;
    double long_prefill_tokens = 0;
    double prefill_engine_requests = 0;
    double prefill_engine_seconds = 0;
    double decode_engine_seconds = 0;
    double flexible_prefill_seconds = 0;
    double flexible_decode_seconds = 0;
    double flexible_decode_requests = 0;
    double output_seconds = 0;
    common::MonotonicTime updated_at{};

    void decayTo(common::MonotonicTime now, common::Duration window);
    /// Adds what a constant rate would have left in the sum.
    /// \param seconds time of that rate that the sum still contains
    void addHistory(const DemandRate& rate, double seconds);
  };
  struct ModelSums {
    DecayingSum short_window;
    DecayingSum long_window;
  };

  DemandRate rate(DecayingSum sum, common::MonotonicTime now, common::Duration window) const;

  DemandSettings settings_;
  common::MonotonicTime started_at_;
  std::map<common::ModelName, ModelSums> sums_;
};

}  // namespace cypresswall::planning
