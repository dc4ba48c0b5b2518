#include "cypresswall/operators/command_client.h"

#include "cypresswall/operators/command_api.h"
#include "cypresswall/operators/parser.h"

namespace cypresswall::operators {
namespace {

/// \return true if a response with this status means that the server executed nothing and that
///   another server may accept the command.
bool shouldTryNextServer(CommandStatus status) { return status == CommandStatus::kNotReady; }

}  // namespace

CommandResponse CommandClient::run(const CommandRequest& request) {
  bool is_change = false;
  try {
    const Command command = parseCommand(request.command);
    if (const auto* help = std::get_if<HelpCommand>(&command)) {
      CommandResponse response;
      response.table = Queries::help(*help);
      return response;
    }
    is_change = isChange(command);
  } catch (const ParseError& error) {
    CommandResponse response;
    response.status = CommandStatus::kParseError;
    response.message = error.what();
    response.position = error.position();
    response.length = error.length();
    response.suggestion = error.suggestion();
    return response;
  }
  const std::string body = encodeRequest(request).dump();
  return is_change ? change(request, body) : query(body);
}

CommandResponse CommandClient::query(const std::string& body) {
  std::string errors;
  std::optional<CommandResponse> last;
  for (const common::Address& server : settings_.servers) {
    const PostAnswer answer = post_(server, body);
    if (answer.result != PostResult::kAnswered) {
      errors.append(errors.empty() ? "" : "; ").append(server).append(": ").append(answer.error);
      continue;
    }
    last = decodeResponse(answer.body);
    if (!shouldTryNextServer(last->status)) {
      return *last;
    }
  }
  if (last) {
    return *last;
  }
  throw UnreachableError("no server answered: " + errors);
}

CommandResponse CommandClient::change(const CommandRequest& request, const std::string& body) {
  // True once the outcome of an attempt is unknown: the change may be accepted, now or later.
  bool uncertain = false;
  std::string errors;
  std::optional<CommandResponse> last;
  common::Duration waited{0};
  while (true) {
    for (const common::Address& server : settings_.servers) {
      const PostAnswer answer = post_(server, body);
      if (answer.result != PostResult::kAnswered) {
        uncertain = uncertain || answer.result == PostResult::kUnknown;
        errors.append(errors.empty() ? "" : "; ").append(server).append(": ").append(answer.error);
        continue;
      }
      last = decodeResponse(answer.body);
      const CommandStatus status = last->status;
      if (status == CommandStatus::kAccepted || isConclusive(request, *last)) {
        return *last;
      }
      uncertain = uncertain || status == CommandStatus::kOutcomeUnknown;
      if (!uncertain && !shouldTryNextServer(status)) {
        return *last;
      }
    }
    if (!uncertain || waited >= settings_.outcome_timeout) {
      break;
    }
    sleep_(settings_.retry_interval);
    waited += settings_.retry_interval;
  }
  if (uncertain) {
    CommandResponse unknown;
    unknown.status = CommandStatus::kOutcomeUnknown;
    unknown.change_id = request.change_id;
    unknown.message =
        "the outcome of change " + request.change_id +
        " is not known; look for it with: show changes where change = " + request.change_id;
    unknown.message.append(last ? "; last answer: " + last->message : "");
    return unknown;
  }
  if (last) {
    return *last;
  }
  throw UnreachableError("no server answered: " + errors);
}

/// \return true if `response` proves that no earlier attempt of the change has been or will be
///   accepted. This is so if the change expects a version and a later version, which does not
///   include the change, is in force. Any other rejection says nothing about earlier attempts.
bool CommandClient::isConclusive(const CommandRequest& request,
                                 const CommandResponse& response) const {
  return response.status == CommandStatus::kConflict && request.expected_version &&
         response.version > *request.expected_version;
}

ExitCode exitCodeOf(CommandStatus status) {
  switch (status) {
    case CommandStatus::kOk:
    case CommandStatus::kAccepted:
      return ExitCode::kDone;
    case CommandStatus::kParseError:
      return ExitCode::kUsage;
    case CommandStatus::kOutcomeUnknown:
      return ExitCode::kOutcomeUnknown;
    default:
      return ExitCode::kRefused;
  }
}

}  // namespace cypresswall::operators
