#include "cypresswall/request_trace/explanation.h"

#include <utility>

#include "cypresswall/request_trace/concurrent_failures.h"
#include "cypresswall/request_trace/context_lines.h"
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
  auto counts = scanLogFiles(paths, [&own](const LogRecord& record) { own.add(record); });
  if (own.records().empty()) {
    throw UnknownRequestError(unknownRequest(request, counts));
  }
  ContextLines context(scopeOf(own));
  ConcurrentFailures concurrent_failures(own);
  scanLogFiles(paths, [&](const LogRecord& record) {
    context.add(record);
    concurrent_failures.add(record);
  });
  std::vector<LogRecord> records = own.records();
  const auto others = context.records();
  records.insert(records.end(), others.begin(), others.end());
  return {makeTimeLine(request, std::move(records), concurrent_failures.counts()),
          std::move(counts), own.omittedLines() + context.omittedLines()};
}

}  // namespace cypresswall::request_trace
