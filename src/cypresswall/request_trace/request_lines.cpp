#include "cypresswall/request_trace/request_lines.h"

#include <algorithm>

namespace cypresswall::request_trace {
namespace {

void addEnginesOf(const Event& event, std::set<std::string>& engines) {
  std::visit(
      [&engines](const auto& one) {
        if constexpr (requires { one.engine; }) {
          engines.insert(one.engine);
        }
        if constexpr (requires { one.prefill_engine; }) {
          engines.insert(one.prefill_engine);
        }
      },
      event);
}

}  // namespace

void RequestLines::add(const LogRecord& record) {
  if (request_.empty() || requestOf(record.event) != request_) {
    return;
  }
  if (records_.size() < kMaximumKeptLines) {
    records_.push_back(record);
  } else {
    ++omitted_lines_;
  }
}

RequestScope scopeOf(const RequestLines& lines) {
  RequestScope scope;
  scope.request = lines.request();
  scope.first = WallTime::max();
  scope.last = WallTime::min();
  for (const LogRecord& record : lines.records()) {
    scope.nodes.insert(record.node);
    addEnginesOf(record.event, scope.engines);
    scope.first = std::min(scope.first, record.time);
    scope.last = std::max(scope.last, record.time);
  }
  scope.engines.erase("");
  return scope;
}

}  // namespace cypresswall::request_trace
