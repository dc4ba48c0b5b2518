#include "cypresswall/request_trace/concurrent_failures.h"

#include <algorithm>

namespace cypresswall::request_trace {
namespace {

/// Maximum size of each set of names, to bound memory. Further names would not change the
/// conclusion whether one or many failed.
constexpr std::size_t kMaximumNames = 10'000;

void addName(std::set<std::string>& names, const std::string& name) {
  if (names.size() < kMaximumNames) {
    names.insert(name);
  }
}

bool isFailure(const LogRecord& record) {
  return std::holds_alternative<RequestFailed>(record.event) ||
         std::holds_alternative<AttemptFailed>(record.event);
}

/// Orders failures after all other events, and otherwise later lines after earlier ones.
bool lessSignificant(const LogRecord& left, const LogRecord& right) {
  return std::pair(isFailure(left), left.time) < std::pair(isFailure(right), right.time);
}

}  // namespace

ConcurrentFailures::ConcurrentFailures(const RequestLines& lines)
    : request_(lines.request()),
      failure_(*std::max_element(lines.records().begin(), lines.records().end(), lessSignificant)) {
  if (const auto* failed = std::get_if<RequestFailed>(&failure_.event)) {
    reason_ = failureReasonOf(failed->reason);
  }
}

void ConcurrentFailures::add(const LogRecord& record) {
  if (std::chrono::abs(record.time - failure_.time) > kConcurrentFailureWindow) {
    return;
  }
  if (record.node != failure_.node) {
    addName(counts_.other_nodes, record.node);
  }
  if (requestOf(record.event) == request_) {
    return;
  }
  if (const auto* attempt = std::get_if<AttemptFailed>(&record.event)) {
    addName(counts_.failing_engines, attempt->engine);
  } else if (const auto* answer = std::get_if<FirstToken>(&record.event)) {
    addName(counts_.answering_engines, answer->engine);
  }
  countFailure(record);
}

void ConcurrentFailures::countFailure(const LogRecord& record) {
  const auto* failed = std::get_if<RequestFailed>(&record.event);
  if (failed == nullptr || !reason_ || failureReasonOf(failed->reason) != *reason_) {
    return;
  }
  if (record.node == failure_.node) {
    ++counts_.same_failures_here;
  } else {
    ++counts_.same_failures_elsewhere;
    addName(counts_.failing_nodes, record.node);
  }
}

}  // namespace cypresswall::request_trace
