/// What one node holds of the configuration, shared by the parts of its replica. It only moves
/// forward in version.
#pragma once

#include <functional>
#include <string>
#include <vector>

#include "cypresswall/api/process_context.h"
#include "cypresswall/configuration/change_log.h"
#include "cypresswall/configuration/configuration_settings.h"

namespace cypresswall::configuration {

/// Where a change came from; decides who is told of it.
enum class ChangeSource {
  kZonePeer,   ///< a node of the own zone, which tells the others itself
  kOtherZone,  ///< a node of another zone
  kStore,
  kCommit,  ///< accepted through this node
};

class ReplicaState {
 public:
  ReplicaState(const ConfigurationSettings& settings, const api::ProcessContext& context);
  ReplicaState(const ReplicaState&) = delete;
  ReplicaState& operator=(const ReplicaState&) = delete;

  const ChangeLog& log() const { return log_; }
  bool ready() const { return ready_; }
  /// True once a history was met that differs from the own one.
  bool forked() const { return forked_; }

  /// Takes changes in order; those that are known, follow a gap or belong to another history are
  /// left out. \return the last result; kKnown if `entries` is empty
  AppendResult apply(const std::vector<LoggedChange>& entries, ChangeSource source);
  /// Installs a snapshot if it is newer.
  void install(const ConfigurationSnapshot& snapshot, ChangeSource source);
  /// From now on the node has what it needs to serve.
  void markReady();
  /// Notes a history that differs from the own one; `where` goes to the log.
  void noteFork(const std::string& where, std::uint64_t version);

  /// Calls `listener` with the version before, after each move forward.
  void onAdvance(std::function<void(std::uint64_t old_version, ChangeSource source)> listener);
  void onReady(std::function<void()> listener);

 private:
  void advanced(std::uint64_t old_version, ChangeSource source);

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
