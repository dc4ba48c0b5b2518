#include "cypresswall/configuration/replica_state.h"

namespace cypresswall::configuration {

using common::LogEvent;
using common::LogLevel;

ReplicaState::ReplicaState(const ConfigurationSettings& settings,
                           const api::ProcessContext& context)
    : context_(context),
      log_(settings),
      applied_(context.counters.counter("cypresswall_configuration_changes_applied_total",
                                        "Accepted changes put in force on this node")),
      without_effect_(
          context.counters.counter("cypresswall_configuration_changes_without_effect_total",
                                   "Accepted changes whose objects this node can't decode")),
      snapshots_(context.counters.counter("cypresswall_configuration_snapshots_installed_total",
                                          "Whole configurations taken over")),
      stale_snapshots_(context.counters.counter("cypresswall_configuration_snapshots_stale_total",
                                                "Snapshots refused since they are not newer")),
      forks_(context.counters.counter("cypresswall_configuration_forks_total",
                                      "Changes refused since they belong to another history")),
      version_gauge_(context.counters.gauge("cypresswall_configuration_version",
                                            "Configuration version in force on this node")) {}

AppendResult ReplicaState::apply(const std::vector<LoggedChange>& entries, ChangeSource source) {
  const std::uint64_t old_version = log_.version();
  AppendResult result = AppendResult::kKnown;
  for (const LoggedChange& entry : entries) {
    result = log_.append(entry);
    if (result == AppendResult::kFork) {
      recordFork("change " + entry.change.change_id, entry.change.version);
    }
    if (result == AppendResult::kFork || result == AppendResult::kGap) {
      break;
    }
    if (result != AppendResult::kKnown) {
      applied_.add();
    }
    if (result == AppendResult::kAppliedWithoutEffect) {
      without_effect_.add();
      LogEvent(context_.log, LogLevel::kError, "configuration_change_without_effect")
          .field("version", entry.change.version)
          .field("change_id", entry.change.change_id);
    }
  }
  notifyAdvanced(old_version, source);
  return result;
}

void ReplicaState::install(const ConfigurationSnapshot& snapshot, ChangeSource source) {
  const std::uint64_t old_version = log_.version();
  if (!log_.install(snapshot)) {
    stale_snapshots_.add();
    return;
  }
  snapshots_.add();
  notifyAdvanced(old_version, source);
}

void ReplicaState::markReady() {
  if (ready_) {
    return;
  }
  ready_ = true;
  LogEvent(context_.log, LogLevel::kInfo, "configuration_ready").field("version", log_.version());
  for (const auto& listener : ready_listeners_) {
    listener();
  }
}

void ReplicaState::recordFork(const std::string& where, std::uint64_t version) {
  forked_ = true;
  forks_.add();
  LogEvent(context_.log, LogLevel::kError, "configuration_fork")
      .field("where", where)
      .field("version", version)
      .field("own_version", log_.version());
}

void ReplicaState::onAdvance(std::function<void(std::uint64_t, ChangeSource)> listener) {
  advance_listeners_.push_back(std::move(listener));
}

void ReplicaState::onReady(std::function<void()> listener) {
  ready_listeners_.push_back(std::move(listener));
}

void ReplicaState::notifyAdvanced(std::uint64_t old_version, ChangeSource source) {
  if (log_.version() == old_version) {
    return;
  }
  version_gauge_.set(static_cast<double>(log_.version()));
  LogEvent(context_.log, LogLevel::kInfo, "configuration_in_force")
      .field("version", log_.version())
      .field("from_version", old_version);
  for (const auto& listener : advance_listeners_) {
    listener(old_version, source);
  }
}

}  // namespace cypresswall::configuration
