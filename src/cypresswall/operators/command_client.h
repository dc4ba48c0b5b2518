/// Sends commands to daemons: tries several servers in turn, and determines the outcome of a change
/// whose response was lost.
#pragma once

#include <functional>
#include <string>
#include <vector>

#include "cypresswall/common/errors.h"
#include "cypresswall/common/time.h"
#include "cypresswall/operators/command_service.h"

namespace cypresswall::operators {

enum class PostResult {
  kAnswered,
  kNotSent,  ///< no byte reached the server
  kUnknown,  ///< connection lost or timed out; the server may have executed the command
};

/// The result of one POST.
struct PostAnswer {
  PostResult result = PostResult::kNotSent;
  /// The response body, for kAnswered.
  std::string body;
  /// The error, for all other results.
  std::string error;
};

/// No server responded.
class UnreachableError : public common::Error {
 public:
  using common::Error::Error;
};

struct CommandClientSettings {
  /// "IP:port" of daemons, tried in turn.
  std::vector<common::Address> servers;
  /// How long a change is retried before its outcome is reported as unknown. Longer than the time
  /// in which a daemon resolves a lost response of the store.
  common::Duration outcome_timeout = std::chrono::seconds(20);
  common::Duration retry_interval = std::chrono::milliseconds(500);
};

class CommandClient {
 public:
  using Post = std::function<PostAnswer(const common::Address& server, const std::string& body)>;
  using Sleep = std::function<void(common::Duration)>;

  /// \param post sends one request body to the command path of a server
  /// \param sleep blocks for the given time
  CommandClient(CommandClientSettings settings, Post post, Sleep sleep)
      : settings_(std::move(settings)), post_(std::move(post)), sleep_(std::move(sleep)) {}

  /// Parses the command locally, so that syntax errors need no server, and then runs it.
  /// \param request must have a unique change_id if the command is a change
  /// \throws UnreachableError
  CommandResponse run(const CommandRequest& request);

 private:
  CommandResponse query(const std::string& body);
  CommandResponse change(const CommandRequest& request, const std::string& body);
  bool isConclusive(const CommandRequest& request, const CommandResponse& response) const;

  CommandClientSettings settings_;
  Post post_;
  Sleep sleep_;
};

/// Exit codes of cypressctl.
enum class ExitCode : int {
  kDone = 0,
  kRefused = 1,
  kUsage = 2,
  kUnreachable = 3,
  kOutcomeUnknown = 4,
};

ExitCode exitCodeOf(CommandStatus status);

}  // namespace cypresswall::operators
