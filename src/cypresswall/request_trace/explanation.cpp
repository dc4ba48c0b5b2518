#include "cypresswall/request_trace/explanation.h"

#include <utility>

#include "cypresswall/request_trace/in_force_lines.h"
#include "cypresswall/request_trace/neighbour_failures.h"
#include "cypresswall/request_trace/request_lines.h"

namespace cypresswall::request_trace {
namespace {

std::string unknownRequest(const std::string& request, const std::vector<ScanCount>& counts) {
  std::uint64_t lines = 0;
  std::uint64_t unreadable = 0;
  for (const ScanCount& count : counts) {
    lines += count.lines;
    unreadable += count.unreadable;
  }
  return request + ": no line of " + std::to_string(counts.size()) + " logs names this request (" +
         std::to_string(lines) + " lines, " + std::to_string(unreadable) + " can't be read)";
}

}  // namespace

Explanation explainRequest(const std::vector<std::string>& paths, const std::string& request) {
  RequestLines own(request);
  auto counts = scanLogFiles(paths, [&own](const LogRecord& record) { own.take(record); });
  if (own.records().empty()) {
    throw UnknownRequestError(unknownRequest(request, counts));
  }
  InForceLines in_force(scopeOf(own));
  NeighbourFailures neighbours(own);
  scanLogFiles(paths, [&](const LogRecord& record) {
    in_force.take(record);
    neighbours.take(record);
  });
  std::vector<LogRecord> records = own.records();
  const auto others = in_force.records();
  records.insert(records.end(), others.begin(), others.end());
  return {makeTimeLine(request, std::move(records), neighbours.counts()), std::move(counts),
          own.leftOut() + in_force.leftOut()};
}

}  // namespace cypresswall::request_trace
