/// Executes operator commands on a daemon.
#pragma once

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "cypresswall/api/process_context.h"
#include "cypresswall/configuration/configuration_replica.h"
#include "cypresswall/operators/change_builder.h"
#include "cypresswall/operators/lexer.h"
#include "cypresswall/operators/queries.h"
#include "cypresswall/operators/result_table.h"
#include "cypresswall/operators/state_providers.h"

namespace cypresswall::operators {

struct CommandRequest {
  std::string command;
  /// Used by `apply`.
  FleetFileText file;
  /// Reject a change unless this version is in force.
  std::optional<std::uint64_t> expected_version;
  /// Respond to a change once it is in force in every zone, or after CommandService::kWaitLimit.
  bool wait = false;
  /// Unique to a change and the same for all its retries. Generated if empty.
  std::string change_id;
  std::string author;
  bool late_delivery = false;
};

enum class CommandStatus {
  kOk,          ///< query answered; see `table`
  kAccepted,    ///< change accepted
  kParseError,  ///< see `position`, `length` and `suggestion`
  kRefused,     ///< valid, but not executed; `message` gives the reason
  kConflict,
  kInvalid,
  kZoneRefused,
  kStoreUnavailable,  ///< not executed
  kOutcomeUnknown,    ///< the change may or may not have been accepted
  kNotReady,
};

/// \return the name used in responses, for example "zone_refused".
const char* toString(CommandStatus status);

/// Whether an accepted change is in force in a zone.
struct ZoneProgress {
  common::ZoneName zone;
  bool in_force = false;
  /// False if this node has no version information from the zone.
  bool heard = true;
};

struct CommandResponse {
  CommandStatus status = CommandStatus::kOk;
  std::string message;
  ResultTable table;
  /// Location of the error in the command, for kParseError.
  std::size_t position = 0;
  std::size_t length = 0;
  std::string suggestion;
  /// For changes: the accepted version, or the version in force.
  std::uint64_t version = 0;
  std::string change_id;
  std::vector<ZoneProgress> zones;
};

class CommandService {
 public:
  using Callback = std::function<void(CommandResponse)>;
  /// Changes are required to be in force everywhere within 7 s; the margin lets the response name
  /// the zones that are late.
  static constexpr common::Duration kWaitLimit = std::chrono::seconds(10);

  /// \param declared set if the platform declares the fleet: queries read it instead of the
  ///   replicated configuration, and changes are rejected
  CommandService(const api::ProcessContext& context,
                 configuration::ConfigurationReplica& configuration,
                 const StateProviders& providers,
                 const configuration::ConfigurationView* declared = nullptr);
  CommandService(const CommandService&) = delete;
  CommandService& operator=(const CommandService&) = delete;

  /// \param callback called exactly once; before execute() returns for queries and errors
  void execute(const CommandRequest& request, const Callback& callback);

 private:
  void submit(const Command& command, const CommandRequest& request, const Callback& callback);
  CommandResponse query(const Command& command) const;
  void onCommitted(const configuration::CommitResult& result, const std::string& change_id,
                   bool wait, const Callback& callback);
  void waitUntilInForce(CommandResponse response, common::MonotonicTime deadline,
                        const Callback& callback);
  std::vector<ZoneProgress> zoneProgress(std::uint64_t version) const;
  std::string makeChangeId();

  api::ProcessContext context_;
  configuration::ConfigurationReplica& configuration_;
  const configuration::ConfigurationView* declared_;
  Queries queries_;
};

}  // namespace cypresswall::operators
