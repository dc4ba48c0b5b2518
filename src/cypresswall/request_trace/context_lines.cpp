#include "cypresswall/request_trace/context_lines.h"

namespace cypresswall::request_trace {
namespace {

constexpr Milliseconds kUntilReplaced = Milliseconds::max();

/// The relevance of a line to the request.
struct Relevance {
  /// Names what the line describes; of the lines before the request, only the newest of each
  /// subject is kept. Empty if the line is not relevant.
  std::string subject;
  /// How long after the line the state that it describes lasts.
  Milliseconds validity{kUntilReplaced};
  /// Maximum time between the event and the line that reports it. A line up to this long after the
  /// request may report an event during the request.
  Milliseconds report_delay{0};
};

/// Determines the relevance of an event, logged by `node`, to a request with the given scope.
class RelevanceOf {
 public:
  RelevanceOf(const RequestScope& scope, const std::string& node) : scope_(scope), node_(node) {}

  Relevance operator()(const ConfigurationApplied&) const { return ofNode("configuration"); }
  Relevance operator()(const NodeStarted&) const { return ofNode("start"); }
  Relevance operator()(const NodeStopping&) const {
    return ofNode("stop", kFailureRelevancePeriod);
  }
  Relevance operator()(const StoreWatchFailed& event) const {
    return ofNode("store " + event.kind, kFailureRelevancePeriod);
  }
  Relevance operator()(const StoreSourceChanged& event) const {
    return ofNode("source " + event.topic);
  }
  Relevance operator()(const LinesDropped&) const {
    Relevance relevance = ofNode("dropped", Milliseconds(0));
    relevance.report_delay = kDroppedLinesReportDelay;
    return relevance;
  }
  Relevance operator()(const EngineEjected& event) const {
    return ofEngine(event.engine, "ejected by " + node_, event.duration);
  }
  Relevance operator()(const EngineChangeStarted& event) const {
    return ofEngine(event.engine, "change started", kUntilReplaced);
  }
  Relevance operator()(const EngineChangeEnded& event) const {
    return ofEngine(event.engine, "change ended", kUntilReplaced);
  }
  template <typename RequestEvent>
  Relevance operator()(const RequestEvent&) const {
    return {};
  }

 private:
  Relevance ofNode(const std::string& subject, Milliseconds validity = kUntilReplaced) const {
    return scope_.nodes.contains(node_) ? Relevance{node_ + " " + subject, validity} : Relevance{};
  }
  Relevance ofEngine(const std::string& engine, const std::string& subject,
                     Milliseconds validity) const {
    return scope_.engines.contains(engine) ? Relevance{engine + " " + subject, validity}
                                           : Relevance{};
  }

  const RequestScope& scope_;
  const std::string& node_;
};

}  // namespace

void ContextLines::add(const LogRecord& record) {
  const Relevance relevance = std::visit(RelevanceOf(scope_, record.node), record.event);
  if (relevance.subject.empty() || record.time - scope_.last > relevance.report_delay) {
    return;
  }
  if (record.time >= scope_.first) {
    keep(record);
  } else if (scope_.first - record.time <= relevance.validity) {
    keepNewest(relevance.subject, record);
  }
}

void ContextLines::keepNewest(const std::string& subject, const LogRecord& record) {
  const auto [kept, added] = newest_before_.try_emplace(subject, record);
  if (!added && kept->second.time <= record.time) {
    kept->second = record;
  }
}

void ContextLines::keep(const LogRecord& record) {
  if (during_.size() < kMaximumKeptLines) {
    during_.push_back(record);
  } else {
    ++omitted_lines_;
  }
}

std::vector<LogRecord> ContextLines::records() const {
  std::vector<LogRecord> records = during_;
  for (const auto& [subject, record] : newest_before_) {
    records.push_back(record);
  }
  return records;
}

}  // namespace cypresswall::request_trace
