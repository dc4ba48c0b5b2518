/// cypressctl: the operator client. docs/operators.md describes its language and exit codes.
#include <curl/curl.h>
#include <gflags/gflags.h>
#include <unistd.h>

#include <array>
#include <cstdlib>
#include <fstream>
#include <iostream>
#include <iterator>
#include <random>
#include <sstream>
#include <string>
#include <thread>
#include <vector>

#include "apps/cypressctl/console.h"
#include "apps/cypressctl/explain.h"
#include "apps/cypressctl/http_post.h"
#include "cypresswall/operators/command_api.h"
#include "cypresswall/operators/command_client.h"
#include "cypresswall/operators/parser.h"
#include "cypresswall/operators/rendering.h"

DEFINE_string(server, "127.0.0.1:8080",
              "daemons to ask, IP:port, separated by commas; tried in turn");
DEFINE_string(output, "table", "how answers are shown: table, json or yaml");
DEFINE_bool(wait, false, "answer a change only when it is in force in every zone (up to 10 s)");
DEFINE_int64(expect_version, -1, "refuse a change unless this version is in force");
DEFINE_bool(late_delivery, false, "accept a change though a zone can't be reached now");
DEFINE_string(f, "", "with apply: the fleet file; otherwise a file of commands, one a line");
DEFINE_string(change_id, "", "identifier of the change, to settle an earlier attempt");
DEFINE_string(author, "", "who makes changes; user@host if empty");
DEFINE_string(request, "", "with explain: the identifier of the request");
DEFINE_int32(timeout_seconds, 25, "time limit of one request");

namespace cypresswall::cypressctl {
namespace {

using operators::CommandRequest;
using operators::ExitCode;

/// Thrown for an unreadable file or invalid flags.
class UsageError : public common::Error {
 public:
  using common::Error::Error;
};

std::string readFile(const std::string& path) {
  std::ifstream file(path, std::ios::binary);
  if (!file) {
    throw UsageError(path + ": can't be read");
  }
  return {std::istreambuf_iterator<char>(file), std::istreambuf_iterator<char>()};
}

std::vector<std::string> splitServers(const std::string& list) {
  std::vector<std::string> servers;
  std::istringstream stream(list);
  for (std::string server; std::getline(stream, server, ',');) {
    if (!server.empty()) {
      servers.push_back(server);
    }
  }
  if (servers.empty()) {
    throw UsageError("--server names no daemon");
  }
  return servers;
}

std::string defaultAuthor() {
  constexpr std::size_t kLongestHostName = 256;
  std::array<char, kLongestHostName> host{};
  gethostname(host.data(), host.size() - 1);
  const char* user = std::getenv("USER");
  return (user == nullptr ? std::to_string(getuid()) : std::string(user)) + "@" + host.data();
}

std::string makeChangeId() {
  std::random_device random;
  std::ostringstream text;
  text << "ctl-" << std::hex << random() << random();
  return text.str();
}

/// Joins shell arguments to one command, and quotes the arguments that the command parser would not
/// read as one word. A single argument is taken as the whole command.
std::string joinWords(const std::vector<std::string>& words) {
  if (words.size() == 1) {
    return words.front();
  }
  std::string command;
  for (const std::string& word : words) {
    const bool split = word.empty() || word.find_first_of(" \t\n\"") != std::string::npos;
    command.append(command.empty() ? "" : " ");
    command.append(split ? operators::quoteWord(word) : word);
  }
  return command;
}

CommandRequest makeRequest(const std::string& command) {
  CommandRequest request;
  request.command = command;
  request.wait = FLAGS_wait;
  request.late_delivery = FLAGS_late_delivery;
  request.change_id = FLAGS_change_id.empty() ? makeChangeId() : FLAGS_change_id;
  request.author = FLAGS_author.empty() ? defaultAuthor() : FLAGS_author;
  if (FLAGS_expect_version >= 0) {
    request.expected_version = static_cast<std::uint64_t>(FLAGS_expect_version);
  }
  return request;
}

/// If the command is `apply`, reads the fleet file that it names and adds the text to the request.
void attachFile(CommandRequest& request) {
  try {
    const auto command = operators::parseCommand(request.command);
    if (const auto* apply = std::get_if<operators::ApplyCommand>(&command)) {
      request.file = {apply->file, readFile(apply->file)};
    }
  } catch (const operators::ParseError&) {  // NOLINT(bugprone-empty-catch): the client reports it
  }
}

ExitCode runCommand(const std::string& command, operators::OutputFormat format) {
  CommandRequest request = makeRequest(command);
  attachFile(request);
  const auto time_limit = std::chrono::seconds(FLAGS_timeout_seconds);
  operators::CommandClient client(
      {splitServers(FLAGS_server)},
      [time_limit](const common::Address& server, const std::string& body) {
        return postCommand(server, body, time_limit);
      },
      [](common::Duration sleep) { std::this_thread::sleep_for(sleep); });
  const auto response = client.run(request);
  const ExitCode code = operators::exitCodeOf(response.status);
  std::ostream& stream = code == ExitCode::kDone ? std::cout : std::cerr;
  stream << operators::renderResponse(response, command, format);
  return code;
}

/// Runs a command. Also prints errors that prevented a response; error responses are printed like
/// other responses.
ExitCode runAndReportErrors(const std::string& command, operators::OutputFormat format) {
  try {
    return runCommand(command, format);
  } catch (const operators::UnreachableError& error) {
    std::cerr << "unreachable: " << error.what() << "\n";
    return ExitCode::kUnreachable;
  } catch (const operators::RequestError& error) {
    std::cerr << "the answer makes no sense: " << error.what() << "\n";
    return ExitCode::kOutcomeUnknown;
  } catch (const common::Error& error) {
    std::cerr << error.what() << "\n";
    return ExitCode::kUsage;
  }
}

/// Runs the commands in a file, one per line, up to the first that fails. Skips empty lines and
/// comments, which start with #.
ExitCode runScript(const std::string& path, operators::OutputFormat format) {
  std::istringstream lines(readFile(path));
  for (std::string line; std::getline(lines, line);) {
    const auto first = line.find_first_not_of(" \t\r");
    if (first == std::string::npos || line[first] == '#') {
      continue;
    }
    const ExitCode code = runAndReportErrors(line, format);
    if (code != ExitCode::kDone) {
      return code;
    }
  }
  return ExitCode::kDone;
}

ExitCode run(std::vector<std::string> words) {
  if (!words.empty() && words.front() == "explain") {
    return explain({words.begin() + 1, words.end()}, FLAGS_request);
  }
  const auto format = operators::parseOutputFormat(FLAGS_output);
  if (!format) {
    throw UsageError("--output must be table, json or yaml");
  }
  if (!FLAGS_f.empty() && words.size() == 1 && words.front() == "apply") {
    words.push_back(operators::quoteWord(FLAGS_f));
  } else if (!FLAGS_f.empty() && words.empty()) {
    return runScript(FLAGS_f, *format);
  } else if (!FLAGS_f.empty()) {
    throw UsageError("-f goes with apply, or stands alone");
  }
  if (!words.empty()) {
    return runAndReportErrors(joinWords(words), *format);
  }
  runConsole([&](const std::string& command) { runAndReportErrors(command, *format); });
  return ExitCode::kDone;
}

}  // namespace
}  // namespace cypresswall::cypressctl

int main(int argc, char** argv) {
  gflags::SetVersionString(CYPRESSWALL_VERSION);
  gflags::SetUsageMessage("cypressctl [flags] [command]; without a command it is interactive");
  gflags::ParseCommandLineFlags(&argc, &argv, true);
  curl_global_init(CURL_GLOBAL_DEFAULT);
  using cypresswall::operators::ExitCode;
  ExitCode code = ExitCode::kUsage;
  try {
    code = cypresswall::cypressctl::run(std::vector<std::string>(argv + 1, argv + argc));
  } catch (const cypresswall::common::Error& error) {
    std::cerr << error.what() << "\n";
  }
  curl_global_cleanup();
  return static_cast<int>(code);
}
