#include "cypresswall/routing/engine_ejection.h"

#include <algorithm>
#include <set>

namespace cypresswall::routing {
namespace {

constexpr const char* kOwnAttempts = "own attempts";
constexpr const char* kZone = "zone";

/// \return true if the failure indicates that the engine is unhealthy.
bool unhealthy(engines::StreamFailure failure) {
  return failure == engines::StreamFailure::kNotSent ||
         failure == engines::StreamFailure::kBroken ||
         failure == engines::StreamFailure::kMalformed;
}

}  // namespace

EngineEjection::EngineEjection(const EjectionSettings& settings, const api::ProcessContext& context,
                               const EngineGroups& groups, EngineTable& table,
                               ReachabilityClaims& claims)
    : settings_(settings),
      context_(context),
      groups_(groups),
      table_(table),
      claims_(claims),
      own_ejections_(context.counters.counter("cypresswall_engine_ejections_total",
                                              "Engines taken out of routing for a while", "source",
                                              "own")),
      zone_ejections_(context.counters.counter("cypresswall_engine_ejections_total",
                                               "Engines taken out of routing for a while", "source",
                                               "zone")),
      refused_ejections_(
          context.counters.counter("cypresswall_engine_ejections_refused_total",
                                   "Engines kept since too many are ejected already, or this node "
                                   "reaches them")),
      lifted_ejections_(
          context.counters.counter("cypresswall_engine_ejections_lifted_total",
                                   "Ejections ended since this node reaches the engine")) {
  context_.dispatcher.handle<EngineFailureReport>(
      [this](const common::NodeId& sender, const EngineFailureReport& report) {
        onReport(sender, report);
      });
  context_.dispatcher.handle<EngineEjected>(
      [this](const common::NodeId&, const EngineEjected& notice) { onEjected(notice); });
  table_.onChange([this](EngineSlot slot, bool restarted) {
    if (restarted) {
      engines_.erase(slot);
    }
  });
}

void EngineEjection::attemptFailed(EngineSlot slot, engines::StreamFailure failure) {
  if (slot == kNoEngineSlot || !unhealthy(failure)) {
    return;
  }
  const common::MonotonicTime now = context_.clock.now();
  const bool unreached = failure == engines::StreamFailure::kNotSent;
  Engine& engine = engines_[slot];
  bool eject_now = unreached;
  if (!unreached) {
    std::erase_if(engine.broken, [&](auto at) { return now - at > settings_.window; });
    engine.broken.push_back(now);
    eject_now = engine.broken.size() >= settings_.own_broken_streams;
  }
  if (eject_now && now >= table_.ejectedUntil(slot) && mayEject(slot, unreached)) {
    own_ejections_.add();
    eject(slot, nextEjectionTime(slot), unreached, kOwnAttempts);
  }
  if (server_path_ == nullptr || !server_path_->lost()) {
    reportFailure(slot, unreached);
  }
}

void EngineEjection::placedAttemptFailed(const common::NodeId& node, EngineSlot slot,
                                         engines::StreamFailure failure) {
  if (slot != kNoEngineSlot && unhealthy(failure)) {
    onReport(node,
             {table_.record(slot).declaration.name, failure == engines::StreamFailure::kNotSent});
  }
}

void EngineEjection::reportFailure(EngineSlot slot, bool unreached) {
  const EngineFailureReport report{table_.record(slot).declaration.name, unreached};
  const common::NodeId watcher = groups_.watcherOf(slot);
  if (watcher == context_.self) {
    onReport(context_.self, report);
  } else if (!watcher.empty()) {
    context_.sendTo(watcher, report);
  }
}

void EngineEjection::onReport(const common::NodeId& sender, const EngineFailureReport& report) {
  const EngineSlot slot = table_.slotOf(report.engine);
  if (slot == kNoEngineSlot) {
    return;
  }
  const common::MonotonicTime now = context_.clock.now();
  Engine& engine = engines_[slot];
  std::erase_if(engine.reports,
                [&](const Failure& failure) { return now - failure.at > settings_.window; });
  if (engine.reports.size() < settings_.remembered_failures) {
    engine.reports.push_back({sender, report.unreached, now});
  }
  if (enoughReports(engine, report.unreached) && mayEject(slot, report.unreached)) {
    engine.reports.clear();
    ejectForZone(slot, report.unreached);
  }
}

bool EngineEjection::enoughReports(const Engine& engine, bool unreached) const {
  std::set<common::NodeId> nodes;
  std::size_t failures = 0;
  for (const Failure& failure : engine.reports) {
    if (failure.unreached == unreached) {
      nodes.insert(failure.node);
      ++failures;
    }
  }
  const std::size_t needed = unreached ? settings_.reporting_nodes : settings_.zone_broken_streams;
  return nodes.size() >= settings_.reporting_nodes && failures >= needed;
}

void EngineEjection::ejectForZone(EngineSlot slot, bool unreached) {
  const common::Duration time = nextEjectionTime(slot);
  EngineEjected notice;
  notice.engine = table_.record(slot).declaration.name;
  notice.unreached = unreached;
  notice.milliseconds = static_cast<std::uint32_t>(time / std::chrono::milliseconds(1));
  context_.sendToAll(groups_.otherRoutingNodes(slot), notice);
  ejectAsTold(slot, time, unreached);
}

void EngineEjection::onEjected(const EngineEjected& notice) {
  const EngineSlot slot = table_.slotOf(notice.engine);
  if (slot == kNoEngineSlot) {
    return;
  }
  if (!mayEject(slot, notice.unreached)) {
    refused_ejections_.add();
    return;
  }
  const common::Duration announced = std::chrono::milliseconds(notice.milliseconds);
  ejectAsTold(slot, std::min(announced, settings_.maximum_time), notice.unreached);
}

void EngineEjection::ejectAsTold(EngineSlot slot, common::Duration time, bool unreached) {
  if (unreached && claims_.reachedJustNow(slot)) {
    refused_ejections_.add();
    return;
  }
  zone_ejections_.add();
  eject(slot, time, unreached, kZone);
  if (unreached) {
    claims_.probe(slot, [this, slot](bool reached) {
      if (reached) {
        liftEjection(slot);
      }
    });
  }
}

void EngineEjection::liftEjection(EngineSlot slot) {
  const common::MonotonicTime now = context_.clock.now();
  if (table_.ejectedUntil(slot) <= now) {
    return;
  }
  lifted_ejections_.add();
  table_.eject(slot, now, now);
  common::LogEvent(context_.log, common::LogLevel::kInfo, "engine_ejection_lifted")
      .field("engine", table_.record(slot).declaration.name);
}

common::Duration EngineEjection::nextEjectionTime(EngineSlot slot) {
  Engine& engine = engines_[slot];
  const bool soon =
      context_.clock.now() - table_.ejectedUntil(slot) <= settings_.backoff_reset_time;
  engine.in_a_row = engine.in_a_row > 0 && soon ? engine.in_a_row + 1 : 1;
  common::Duration time = settings_.base_time;
  for (std::uint32_t i = 1; i < engine.in_a_row && time < settings_.maximum_time; ++i) {
    time *= 2;
  }
  return std::min(time, settings_.maximum_time);
}

bool EngineEjection::mayEject(EngineSlot slot, bool unreached) const {
  if (!settings_.ejection_enabled) {
    return false;
  }
  const EngineRecord& wanted = table_.record(slot);
  std::size_t alike = 0;
  std::size_t ejected = 0;
  for (const EngineSlot other : table_.roster()) {
    const EngineRecord& record = table_.record(other);
    if (record.load.model != wanted.load.model || record.load.role != wanted.load.role) {
      continue;
    }
    ++alike;
    const bool out = record.availability == EngineAvailability::kEjected;
    ejected += out && other != slot ? 1 : 0;
  }
  const double share =
      unreached ? settings_.maximum_unreached_share : settings_.maximum_broken_share;
  return static_cast<double>(ejected + 1) <= share * static_cast<double>(alike);
}

void EngineEjection::eject(EngineSlot slot, common::Duration time, bool unreached,
                           const char* source) {
  const common::MonotonicTime now = context_.clock.now();
  Engine& engine = engines_[slot];
  engine.broken.clear();
  table_.eject(slot, std::max(table_.ejectedUntil(slot), now + time), now);
  common::LogEvent(context_.log, common::LogLevel::kInfo, "engine_ejected")
      .field("engine", table_.record(slot).declaration.name)
      .field("source", source)
      .field("failure", unreached ? "unreached" : "broken")
      .field("in_a_row", engine.in_a_row)
      .field("for_ms", time / std::chrono::milliseconds(1));
}

}  // namespace cypresswall::routing
