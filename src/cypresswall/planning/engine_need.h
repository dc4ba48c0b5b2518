/// Decides how many engines a zone needs for its load, so that a fleet with many more engines than
/// that can leave the others in reserve.
#pragma once

#include <cstddef>
#include <optional>
#include <vector>

#include "cypresswall/common/time.h"
#include "cypresswall/planning/planner.h"

namespace cypresswall::planning {

struct EngineNeedSettings {
  /// The number of engines is doubled while the busiest role is utilised more than this. What is
  /// left covers a burst of twice the load until the engines that are added serve.
  double full_utilisation = 0.4;
  /// It is halved again after the busiest role was utilised less than this for `release_time`.
  double idle_utilisation = 0.1;
  common::Duration release_time = std::chrono::seconds(60);
  /// Minimum time between two doublings, in which the added engines become known.
  common::Duration growth_interval = std::chrono::seconds(2);
  /// With fewer engines in use, the load asks for no number: a fleet this small is used whole.
  std::size_t minimum_engines = 256;
};

class EngineNeed {
 public:
  explicit EngineNeed(const EngineNeedSettings& settings = {}) : settings_(settings) {}

  /// \param models utilisation of each model's engines
  /// \param engines number of engines in use
  /// \return the number of engines needed; zero if the load asks for no particular number
  std::size_t update(const std::vector<ModelExplanation>& models, std::size_t engines,
                     common::MonotonicTime now);

 private:
  EngineNeedSettings settings_;
  std::size_t needed_ = 0;
  std::optional<common::MonotonicTime> grown_at_;
  /// Since when the engines have been idle.
  std::optional<common::MonotonicTime> idle_since_;
};

}  // namespace cypresswall::planning
