/// Commits changes to the platform's store. Of several concurrent changes for the same version, the
/// one that creates the store key of that version is accepted. The others fail with kConflict,
/// which names the author of the accepted change.
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
  /// Identifies the change; all retries of the change use the same identifier.
  std::string change_id;
  std::string author;
  /// If set, the change is rejected unless this is the version in force.
  std::optional<std::uint64_t> expected_version;
  /// If true, the change is committed even if zones don't answer; they receive it later.
  bool late_delivery = false;
};

enum class CommitStatus : std::uint8_t {
  kAccepted,
  kConflict,          ///< another change was accepted first, or `expected_version` is not in force
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
  /// With kConflict: author of the change that was accepted first, if known.
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
    /// True once the answer to a write was lost, so that the change may be stored.
    bool possibly_stored = false;
  };
  using AttemptPointer = std::shared_ptr<Attempt>;

  /// \return the result if the request can be decided without the store and the other zones, or
  ///   nothing.
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
