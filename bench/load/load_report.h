/// Reports of a load run: human-readable text, JSON and CSV.
#pragma once

#include <nlohmann/json.hpp>
#include <ostream>
#include <vector>

#include "bench/load/load_run.h"

namespace cypresswall::bench {

void writeText(std::ostream& out, const std::vector<TargetReport>& reports);
nlohmann::json encodeReports(const std::vector<TargetReport>& reports);
/// One row for each target and kind, with a header line.
void writeCsv(std::ostream& out, const std::vector<TargetReport>& reports);

}  // namespace cypresswall::bench
