/// A node's copy of the configuration, shared by the components of its replica. Its version only
/// increases.
#pragma once

#include <functional>
#include <string>
#include <vector>

#include "cypresswall/api/process_context.h"
#include "cypresswall/configuration/change_log.h"
#include "cypresswall/configuration/configuration_settings.h"

namespace cypresswall::configuration {

/// Origin of a change; determines which nodes it is forwarded to.
enum class ChangeSource {
  kZonePeer,   ///< a node of the local zone; it sends the change to the zone's other nodes itself
  kOtherZone,  ///< a node of another zone
  kStore,
  kCommit,  ///< committed by this node
};

class ReplicaState {
 public:
  ReplicaState(const ConfigurationSettings& settings, const api::ProcessContext& context);
  ReplicaState(const ReplicaState&) = delete;
  ReplicaState& operator=(const ReplicaState&) = delete;

  const ChangeLog& log() const { return log_; }
  bool ready() const { return ready_; }
  /// True once this node has received a change or digest that contradicts its own history.
  bool forked() const { return forked_; }

  /// Appends changes in order and skips those already known; stops at a gap or a diverging history.
  /// \return the result of the last change processed; kKnown if `entries` is empty
  AppendResult apply(const std::vector<LoggedChange>& entries, ChangeSource source);
  /// Installs a snapshot if it is newer.
  void install(const ConfigurationSnapshot& snapshot, ChangeSource source);
  /// Marks the configuration as loaded and calls the listeners of onReady().
  void markReady();
  /// Records that a history diverges from this node's at `version`. \param where the source of the
  /// diverging history, for the log
  void recordFork(const std::string& where, std::uint64_t version);

  /// Calls `listener` with the previous version after each increase of the version.
  void onAdvance(std::function<void(std::uint64_t old_version, ChangeSource source)> listener);
  void onReady(std::function<void()> listener);

 private:
  void notifyAdvanced(std::uint64_t old_version, ChangeSource source);

  const api::ProcessContext& context_;
  ChangeLog log_;
  bool ready_ = false;
  bool forked_ = false;
  std::vector<std::function<void(std::uint64_t, ChangeSource)>> advance_listeners_;
  std::vector<std::function<void()>> ready_listeners_;
  common::Counter& applied_;
  common::Counter& without_effect_;
  common::Counter& snapshots_;
  common::Counter& stale_snapshots_;
  common::Counter& forks_;
  common::Counter& version_gauge_;
};

}  // namespace cypresswall::configuration
