/// Reports of simulated scenarios: human-readable text, JSON and CSV.
#pragma once

#include <nlohmann/json.hpp>
#include <ostream>
#include <vector>

#include "bench/simulate/scenario_run.h"

namespace cypresswall::bench {

/// All policies on one scenario.
struct ScenarioOutcome {
  std::string scenario;
  std::vector<PolicyOutcome> policies;
};

void writeText(std::ostream& out, const ScenarioOutcome& outcome);
nlohmann::json encodeOutcome(const ScenarioOutcome& outcome);
/// One row for each policy and seed; the header line is written if `header` is set.
void writeCsv(std::ostream& out, const ScenarioOutcome& outcome, bool header);

}  // namespace cypresswall::bench
