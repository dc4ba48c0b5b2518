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
  /// The fleet file of an `apply` command; not used by other commands.
  FleetFileText file;
  /// If set, a change is rejected unless this configuration version is in force.
  std::optional<std::uint64_t> expected_version;
  /// If true, the response to an accepted change is delayed until the change is in force in every
  /// zone, but by at most CommandService::kWaitLimit. If false, it is sent at once.
  bool wait = false;
  /// Identifies a change; all retries of a change use the same identifier. Generated if empty.
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
  kOutcomeUnknown,    ///< it is not known whether the change was accepted
  kNotReady,
};

/// \return the name used in responses, for example "zone_refused".
const char* toString(CommandStatus status);

/// Whether an accepted change is in force in a zone.
struct ZoneProgress {
  common::ZoneName zone;
  bool in_force = false;
  /// False if the node that answers has not learned the zone's version.
  bool heard = true;
};

struct CommandResponse {
  CommandStatus status = CommandStatus::kOk;
  std::string message;
  ResultTable table;
  /// For kParseError: byte offset of the error in the command.
  std::size_t position = 0;
  /// For kParseError: number of bytes that the error covers.
  std::size_t length = 0;
  std::string suggestion;
  /// For changes: the version that the change produced, or the version in force if the change was
  /// not accepted.
  std::uint64_t version = 0;
  std::string change_id;
  std::vector<ZoneProgress> zones;
};

class CommandService {
 public:
  using Callback = std::function<void(CommandResponse)>;
  /// Maximum delay of a response with CommandRequest::wait. Changes are required to be in force
  /// everywhere within 7 s; after this longer time, the response names the zones that are late.
  static constexpr common::Duration kWaitLimit = std::chrono::seconds(10);

  /// \param declared the platform's declaration of the fleet, or null. If set, queries read it
  ///   instead of the replicated configuration, and changes are rejected
  CommandService(const api::ProcessContext& context,
                 configuration::ConfigurationReplica& configuration,
                 const StateProviders& providers,
                 const configuration::ConfigurationView* declared = nullptr);
  CommandService(const CommandService&) = delete;
  CommandService& operator=(const CommandService&) = delete;

  /// \param callback called exactly once. For queries and errors, this happens before execute()
  ///   returns
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
