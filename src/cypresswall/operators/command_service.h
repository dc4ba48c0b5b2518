/// Carries out operators' commands on a daemon.
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
  /// For `apply`.
  FleetFileText file;
  /// Refuse a change unless this version is in force.
  std::optional<std::uint64_t> expected_version;
  /// Answer a change only when it is in force in every zone, or after CommandService::kWaitLimit.
  bool wait = false;
  /// Unique; the same for each attempt at one change. Made up if empty.
  std::string change_id;
  std::string author;
  bool late_delivery = false;
};

enum class CommandStatus {
  kOk,          ///< a query, with its table
  kAccepted,    ///< a change
  kParseError,  ///< see `position`, `length` and `suggestion`
  kRefused,     ///< understood, but nothing was done; `message` says why
  kConflict,
  kInvalid,
  kZoneRefused,
  kStoreUnavailable,  ///< nothing was done
  kOutcomeUnknown,    ///< the change may or may not be accepted
  kNotReady,
};

/// \return the word used in answers, for example "zone_refused".
const char* toString(CommandStatus status);

/// Where an accepted change is in force.
struct ZoneProgress {
  common::ZoneName zone;
  bool in_force = false;
  /// False if the zone has not been heard of by this node.
  bool heard = true;
};

struct CommandResponse {
  CommandStatus status = CommandStatus::kOk;
  std::string message;
  ResultTable table;
  /// Place at fault in the command, with kParseError.
  std::size_t position = 0;
  std::size_t length = 0;
  std::string suggestion;
  /// Of changes: the accepted version, or the one in force.
  std::uint64_t version = 0;
  std::string change_id;
  std::vector<ZoneProgress> zones;
};

class CommandService {
 public:
  using Callback = std::function<void(CommandResponse)>;
  /// The users ask for 7 s; a little more shows that a zone is late, and which.
  static constexpr common::Duration kWaitLimit = std::chrono::seconds(10);

  /// \param declared set where the platform declares the fleet: queries read it in place of the
  ///   replicated configuration, and changes are refused
  CommandService(const api::ProcessContext& context,
                 configuration::ConfigurationReplica& configuration,
                 const StateProviders& providers,
                 const configuration::ConfigurationView* declared = nullptr);
  CommandService(const CommandService&) = delete;
  CommandService& operator=(const CommandService&) = delete;

  /// \param callback called exactly once; for queries and errors before the call returns
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
