#include "cypresswall/request_trace/in_force_lines.h"

namespace cypresswall::request_trace {
namespace {

constexpr Milliseconds kUntilReplaced = Milliseconds::max();

/// How a line bears on the request.
struct Bearing {
  /// Of the lines before the request, the newest about each subject is kept; empty: no bearing.
  std::string subject;
  /// How long what the line tells was in force.
  Milliseconds in_force{kUntilReplaced};
  /// How long after it happened a line may be written.
  Milliseconds told_within{0};
};

/// Tells of each event how a line with it bears on a request of this scope.
class BearingOf {
 public:
  BearingOf(const RequestScope& scope, const std::string& node) : scope_(scope), node_(node) {}

  Bearing operator()(const ConfigurationTaken&) const { return ofNode("configuration"); }
  Bearing operator()(const NodeStarted&) const { return ofNode("start"); }
  Bearing operator()(const NodeStopping&) const { return ofNode("stop", kFailureStaysInForce); }
  Bearing operator()(const StoreWatchFailed& event) const {
    return ofNode("store " + event.kind, kFailureStaysInForce);
  }
  Bearing operator()(const StoreSourceChanged& event) const {
    return ofNode("source " + event.topic);
  }
  Bearing operator()(const LinesDropped&) const {
    Bearing bearing = ofNode("dropped", Milliseconds(0));
    bearing.told_within = kDroppedToldWithin;
    return bearing;
  }
  Bearing operator()(const EngineEjected& event) const {
    return ofEngine(event.engine, "ejected by " + node_, event.duration);
  }
  Bearing operator()(const EngineChangeStarted& event) const {
    return ofEngine(event.engine, "change started", kUntilReplaced);
  }
  Bearing operator()(const EngineChangeEnded& event) const {
    return ofEngine(event.engine, "change ended", kUntilReplaced);
  }
  template <typename RequestEvent>
  Bearing operator()(const RequestEvent&) const {
    return {};
  }

 private:
  Bearing ofNode(const std::string& subject, Milliseconds in_force = kUntilReplaced) const {
    return scope_.nodes.contains(node_) ? Bearing{node_ + " " + subject, in_force} : Bearing{};
  }
  Bearing ofEngine(const std::string& engine, const std::string& subject,
                   Milliseconds in_force) const {
    return scope_.engines.contains(engine) ? Bearing{engine + " " + subject, in_force} : Bearing{};
  }

  const RequestScope& scope_;
  const std::string& node_;
};

}  // namespace

void InForceLines::take(const LogRecord& record) {
  const Bearing bearing = std::visit(BearingOf(scope_, record.node), record.event);
  if (bearing.subject.empty() || record.time - scope_.last > bearing.told_within) {
    return;
  }
  if (record.time >= scope_.first) {
    keep(record);
  } else if (scope_.first - record.time <= bearing.in_force) {
    keepNewest(bearing.subject, record);
  }
}

void InForceLines::keepNewest(const std::string& subject, const LogRecord& record) {
  const auto [kept, added] = newest_before_.try_emplace(subject, record);
  if (!added && kept->second.time <= record.time) {
    kept->second = record;
  }
}

void InForceLines::keep(const LogRecord& record) {
  if (during_.size() < kMostKeptLines) {
    during_.push_back(record);
  } else {
    ++left_out_;
  }
}

std::vector<LogRecord> InForceLines::records() const {
  std::vector<LogRecord> records = during_;
  for (const auto& [subject, record] : newest_before_) {
    records.push_back(record);
  }
  return records;
}

}  // namespace cypresswall::request_trace
