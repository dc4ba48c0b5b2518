/// Commits changes to the platform's store. The change that creates the key of the next version is
/// accepted; a concurrent change for the same version fails and reports the author of the winner.
#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "cypresswall/api/process_context.h"
#include "cypresswall/configuration/configuration_settings.h"
#include "cypresswall/configuration/object_kind.h"
#include "cypresswall/configuration/peer_exchange.h"
#include "cypresswall/configuration/replica_state.h"
#include "cypresswall/configuration/zone_approval.h"
#include "cypresswall/object_store/object_store.h"

namespace cypresswall::configuration {

/// A change requested by an operator.
struct ConfigurationChangeRequest {
  std::vector<ObjectChange> objects;
  /// Unique identifier; retries of one change use the same one.
  std::string change_id;
  std::string author;
  /// If set, the change is rejected unless this is the version in force.
  std::optional<std::uint64_t> expected_version;
  /// Commit even if zones are unreachable; these receive the change later.
  bool late_delivery = false;
};

enum class CommitStatus : std::uint8_t {
  kAccepted,
  kConflict,          ///< another change was accepted first
  kInvalid,           ///< see CommitResult::errors
  kZoneRefused,       ///< see CommitResult::zones
  kStoreUnavailable,  ///< the change was not stored
  kStoreBehind,       ///< the store lacks changes that are in force; they are being written back
  kForked,            ///< the store or a zone holds a diverging history; needs an operator
  kNotReady,          ///< this node holds no configuration yet
  kOutcomeUnknown,    ///< the store's answer was lost and not resolved in time
};

/// \return for example "conflict" or "store_unavailable".
const char* toString(CommitStatus status);

struct CommitResult {
  CommitStatus status = CommitStatus::kAccepted;
  /// The accepted version, or the newest that this node holds.
  std::uint64_t version = 0;
  std::string message;
  /// With kConflict: author of the change that was accepted first.
  std::string winner;
  std::vector<ObjectError> errors;
  std::vector<ZoneRefusal> zones;
};

using CommitCallback = std::function<void(CommitResult)>;

class Committer {
 public:
  Committer(const ConfigurationSettings& settings, const api::ProcessContext& context,
            ReplicaState& state, PeerExchange& exchange, ZoneApproval& approval,
            object_store::ObjectStore& store);
  Committer(const Committer&) = delete;
  Committer& operator=(const Committer&) = delete;

  /// \param callback called exactly once, never before the call returns
  void submit(ConfigurationChangeRequest request, CommitCallback callback);

 private:
  using Stored = object_store::StoreResult<object_store::StoredObject>;
  /// A change that is being committed.
  struct Attempt {
    ConfigurationChangeRequest request;
    CommitCallback callback;
    LoggedChange entry;
    common::MonotonicTime outcome_deadline;
    int base_reads = 0;
    /// True once a write of unknown outcome may have taken effect.
    bool possibly_stored = false;
  };
  using AttemptPointer = std::shared_ptr<Attempt>;

  /// \return the result, if it needs neither the store nor the other zones.
  std::optional<CommitResult> immediateResult(const ConfigurationChangeRequest& request) const;
  std::optional<CommitResult> prepare(Attempt& attempt, FleetConfiguration& result) const;
  void onZonesAnswered(const AttemptPointer& attempt, std::vector<ZoneRefusal> refusals);
  bool finishIfSuperseded(const AttemptPointer& attempt);
  void checkBase(const AttemptPointer& attempt);
  void onBaseRead(const AttemptPointer& attempt, const Stored& result);
  void write(const AttemptPointer& attempt);
  void onWritten(const AttemptPointer& attempt, const Stored& result);
  void readWinner(const AttemptPointer& attempt);
  void onWinnerRead(const AttemptPointer& attempt, const LoggedChange& winner);
  void retryUntilDeadline(const AttemptPointer& attempt,
                          void (Committer::*step)(const AttemptPointer&));
  void finishAccepted(const AttemptPointer& attempt);
  void writeSnapshot();
  CommitResult conflict() const;
  CommitResult refusal(CommitStatus status, std::string message) const;
  CommitResult storeUnavailable(const std::string& reason) const;
  void finish(const AttemptPointer& attempt, CommitResult result);

  const ConfigurationSettings& settings_;
  const api::ProcessContext& context_;
  ReplicaState& state_;
  PeerExchange& exchange_;
  ZoneApproval& approval_;
  object_store::ObjectStore& store_;
};

}  // namespace cypresswall::configuration
