/// Sends commands to daemons: tries several servers in turn, and retries a change whose response
/// was lost until its outcome is known.
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
  /// For kAnswered: the response body.
  std::string body;
  /// For all other results: what went wrong.
  std::string error;
};

/// No server answered the command.
class UnreachableError : public common::Error {
 public:
  using common::Error::Error;
};

struct CommandClientSettings {
  /// "IP:port" of daemons, tried in turn.
  std::vector<common::Address> servers;
  /// A change whose outcome is uncertain is retried for this long before the outcome is reported as
  /// unknown. This is longer than a daemon needs to find out the outcome of a write to the store
  /// whose response was lost.
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

  /// Parses the command, so that syntax errors are reported without a server, and then sends it.
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
