/// Commits changes to the platform's store: the one that creates the key of the next version is
/// accepted, any other that wanted the same version is told who was first.
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

/// What an operator wants changed.
struct ConfigurationChangeRequest {
  std::vector<ObjectChange> objects;
  /// Unique; the same for each attempt at one change.
  std::string change_id;
  std::string author;
  /// If given, the change is refused unless this is the version in force.
  std::optional<std::uint64_t> expected_version;
  /// Zones that can't be reached get the change later, instead of its being refused.
  bool late_delivery = false;
};

enum class CommitStatus : std::uint8_t {
  kAccepted,
  kConflict,          ///< another change came first
  kInvalid,           ///< see CommitResult::errors
  kZoneRefused,       ///< see CommitResult::zones
  kStoreUnavailable,  ///< the store did nothing
  kStoreBehind,       ///< the store lacks changes that are in force; they are being written back
  kForked,            ///< the store or a zone holds another history; operators must decide
  kNotReady,          ///< this node holds no configuration yet
  kOutcomeUnknown,    ///< the store's answer was lost and could not be settled in time
};

/// \return for example "conflict" or "store_unavailable".
const char* toString(CommitStatus status);

struct CommitResult {
  CommitStatus status = CommitStatus::kAccepted;
  /// The accepted version, or the newest that this node holds.
  std::uint64_t version = 0;
  std::string message;
  /// Author of the change that came first, with kConflict.
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
  /// One change on its way.
  struct Attempt {
    ConfigurationChangeRequest request;
    CommitCallback callback;
    LoggedChange entry;
    common::MonotonicTime settle_deadline;
    int base_reads = 0;
    /// True once a write may have taken effect though no answer said so.
    bool may_be_stored = false;
  };
  using AttemptPointer = std::shared_ptr<Attempt>;

  /// \return the answer, if it is known without the store and the other zones.
  std::optional<CommitResult> immediateResult(const ConfigurationChangeRequest& request) const;
  std::optional<CommitResult> prepare(Attempt& attempt, FleetConfiguration& result) const;
  void zonesAnswered(const AttemptPointer& attempt, std::vector<ZoneRefusal> refusals);
  bool overtaken(const AttemptPointer& attempt);
  void checkBase(const AttemptPointer& attempt);
  void baseRead(const AttemptPointer& attempt, const Stored& result);
  void write(const AttemptPointer& attempt);
  void written(const AttemptPointer& attempt, const Stored& result);
  void readWinner(const AttemptPointer& attempt);
  void onWinnerRead(const AttemptPointer& attempt, const LoggedChange& winner);
  void retryUntilDeadline(const AttemptPointer& attempt,
                          void (Committer::*step)(const AttemptPointer&));
  void accepted(const AttemptPointer& attempt);
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
