#include "cypresswall/operators/command_service.h"

#include <algorithm>
#include <array>

#include "cypresswall/configuration/fleet_file.h"
#include "cypresswall/operators/parser.h"

namespace cypresswall::operators {
namespace {

using configuration::CommitStatus;

constexpr common::Duration kWaitInterval = std::chrono::milliseconds(100);

constexpr std::array<const char*, 10> kStatusNames = {
    "ok",      "accepted",     "parse_error",       "refused",         "conflict",
    "invalid", "zone_refused", "store_unavailable", "outcome_unknown", "not_ready"};

CommandStatus statusOf(CommitStatus status) {
  switch (status) {
    case CommitStatus::kAccepted:
      return CommandStatus::kAccepted;
    case CommitStatus::kConflict:
      return CommandStatus::kConflict;
    case CommitStatus::kInvalid:
      return CommandStatus::kInvalid;
    case CommitStatus::kZoneRefused:
      return CommandStatus::kZoneRefused;
    case CommitStatus::kStoreUnavailable:
    case CommitStatus::kStoreBehind:
      return CommandStatus::kStoreUnavailable;
    case CommitStatus::kForked:
      return CommandStatus::kRefused;
    case CommitStatus::kNotReady:
      return CommandStatus::kNotReady;
    case CommitStatus::kOutcomeUnknown:
      break;
  }
  return CommandStatus::kOutcomeUnknown;
}

CommandResponse failure(CommandStatus status, const std::string& message) {
  CommandResponse response;
  response.status = status;
  response.message = message;
  return response;
}

CommandResponse parseFailure(const ParseError& error) {
  CommandResponse response = failure(CommandStatus::kParseError, error.what());
  response.position = error.position();
  response.length = error.length();
  response.suggestion = error.suggestion();
  return response;
}

}  // namespace

const char* toString(CommandStatus status) {
  return kStatusNames.at(static_cast<std::size_t>(status));
}

CommandService::CommandService(const api::ProcessContext& context,
                               configuration::ConfigurationReplica& configuration,
                               const StateProviders& providers,
                               const configuration::ConfigurationView* declared)
    : context_(context),
      configuration_(configuration),
      declared_(declared),
      queries_(context.zone, configuration, providers, declared) {}

void CommandService::execute(const CommandRequest& request, const Callback& callback) {
  try {
    const Command command = parseCommand(request.command);
    if (isChange(command) && declared_ != nullptr) {
      throw CommandError("the fleet is declared by the platform: change it there");
    }
    if (isChange(command)) {
      submit(command, request, callback);
    } else {
      callback(query(command));
    }
  } catch (const ParseError& error) {
    callback(parseFailure(error));
  } catch (const CommandError& error) {
    callback(failure(CommandStatus::kRefused, error.what()));
  } catch (const configuration::FleetFileError& error) {
    callback(failure(CommandStatus::kInvalid, error.what()));
  }
}

CommandResponse CommandService::query(const Command& command) const {
  CommandResponse response;
  response.version =
      declared_ != nullptr ? declared_->current()->version : configuration_.log().version();
  if (const auto* show = std::get_if<ShowCommand>(&command)) {
    response.table = queries_.show(*show);
  } else if (const auto* why = std::get_if<WhyCommand>(&command)) {
    response.table = queries_.why(*why);
  } else if (const auto* history = std::get_if<HistoryCommand>(&command)) {
    response.table = queries_.history(*history);
  } else if (const auto* help = std::get_if<HelpCommand>(&command)) {
    response.table = Queries::help(*help);
  }
  return response;
}

void CommandService::submit(const Command& command, const CommandRequest& request,
                            const Callback& callback) {
  configuration::ConfigurationChangeRequest change;
  change.change_id = request.change_id.empty() ? makeChangeId() : request.change_id;
  change.author = request.author.empty() ? "unknown" : request.author;
  change.expected_version = request.expected_version;
  change.late_delivery = request.late_delivery;
  // The objects of a change are built only if no accepted change has its identifier. For a retry of
  // an accepted change the identifier suffices, and objects built from the current configuration
  // would differ from the accepted ones.
  if (configuration_.log().findChangeId(change.change_id) == nullptr) {
    change.objects = buildChanges(command, *configuration_.current(), request.file);
  }
  configuration_.submit(change, [this, id = change.change_id, wait = request.wait,
                                 callback](const configuration::CommitResult& result) {
    onCommitted(result, id, wait, callback);
  });
}

void CommandService::onCommitted(const configuration::CommitResult& result,
                                 const std::string& change_id, bool wait,
                                 const Callback& callback) {
  CommandResponse response;
  response.status = statusOf(result.status);
  response.message = result.message;
  response.version = result.version;
  response.change_id = change_id;
  if (response.status == CommandStatus::kAccepted && wait) {
    waitUntilInForce(std::move(response), context_.clock.now() + kWaitLimit, callback);
    return;
  }
  if (response.status == CommandStatus::kAccepted) {
    response.zones = zoneProgress(response.version);
  }
  callback(std::move(response));
}

void CommandService::waitUntilInForce(CommandResponse response, common::MonotonicTime deadline,
                                      const Callback& callback) {
  const bool late = context_.clock.now() >= deadline;
  const common::TimerId again =
      late ? 0 : context_.scheduler.schedule(kWaitInterval, [this, response, deadline, callback] {
        waitUntilInForce(response, deadline, callback);
      });
  response.zones = zoneProgress(response.version);
  const bool everywhere =
      std::all_of(response.zones.begin(), response.zones.end(),
                  [](const ZoneProgress& zone) { return zone.in_force || !zone.heard; });
  if (everywhere || late) {
    context_.scheduler.cancel(again);
    callback(std::move(response));
  }
}

std::vector<ZoneProgress> CommandService::zoneProgress(std::uint64_t version) const {
  std::map<common::ZoneName, ZoneProgress> zones;
  for (const auto& [name, zone] : configuration_.current()->zones) {
    zones[name] = ZoneProgress{name, false, false};
  }
  for (const auto& [name, versions] : configuration_.zoneVersions()) {
    zones[name] = ZoneProgress{name, versions.in_force >= version, true};
  }
  std::vector<ZoneProgress> progress;
  progress.reserve(zones.size());
  for (auto& [name, zone] : zones) {
    progress.push_back(std::move(zone));
  }
  return progress;
}

std::string CommandService::makeChangeId() {
  return "change-" + std::to_string(context_.random.next());
}

}  // namespace cypresswall::operators
