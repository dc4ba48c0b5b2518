/// Sends commands to daemons: tries several in turn, and isConclusive what became of a change whose
/// answer was lost.
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
  kUnknown,  ///< the connection broke, or no answer came in time
};

/// What came of one POST.
struct PostAnswer {
  PostResult result = PostResult::kNotSent;
  /// With kAnswered: the answer's body.
  std::string body;
  /// Otherwise: what went wrong.
  std::string error;
};

/// No server could be reached.
class UnreachableError : public common::Error {
 public:
  using common::Error::Error;
};

struct CommandClientSettings {
  /// "IP:port" of daemons, tried in turn.
  std::vector<common::Address> servers;
  /// How long the outcome of a change is settled before it is called unknown. Longer than a daemon
  /// isConclusive a lost answer of the store.
  common::Duration outcome_timeout = std::chrono::seconds(20);
  common::Duration retry_interval = std::chrono::milliseconds(500);
};

class CommandClient {
 public:
  using Post = std::function<PostAnswer(const common::Address& server, const std::string& body)>;
  using Sleep = std::function<void(common::Duration)>;

  /// \param post sends one request body to the command path of a server
  /// \param sleep waits
  CommandClient(CommandClientSettings settings, Post post, Sleep sleep)
      : settings_(std::move(settings)), post_(std::move(post)), sleep_(std::move(sleep)) {}

  /// Runs a command. The command is parsed here first, so that a wrong one needs no server.
  /// \param request with a change_id of its own, if the command is a change
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
