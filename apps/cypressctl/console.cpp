#include "apps/cypressctl/console.h"

// The readline headers require <cstdio> before them.
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

#include <readline/history.h>
#include <readline/readline.h>

#include "cypresswall/operators/parser.h"

namespace cypresswall::cypressctl {
namespace {

constexpr int kHistoryLength = 1000;

/// Words that the completion in progress offers; global because readline callbacks take no user
/// data.
std::vector<std::string>& candidates() {
  static std::vector<std::string> words;
  return words;
}

char* nextCandidate(const char* text, int state) {
  static std::size_t next = 0;
  if (state == 0) {
    next = 0;
  }
  const std::string_view prefix(text);
  while (next < candidates().size()) {
    const std::string& candidate = candidates()[next++];
    if (candidate.compare(0, prefix.size(), prefix) == 0) {
      return strdup(candidate.c_str());
    }
  }
  return nullptr;
}

char** complete(const char* text, int start, int) {
  candidates() = operators::completions(std::string_view(rl_line_buffer, start));
  if (candidates().empty()) {
    return nullptr;  // default file name completion, for example for apply
  }
  rl_attempted_completion_over = 1;
  return rl_completion_matches(text, &nextCandidate);
}

std::string historyFile() {
  const char* home = std::getenv("HOME");
  return home == nullptr ? std::string() : std::string(home) + "/.cypressctl_history";
}

}  // namespace

void runConsole(const std::function<void(const std::string&)>& run) {
  rl_readline_name = "cypressctl";
  rl_attempted_completion_function = &complete;
  rl_completer_word_break_characters = " \t\"=<>!";
  stifle_history(kHistoryLength);
  const std::string file = historyFile();
  if (!file.empty()) {
    read_history(file.c_str());
  }
  while (true) {
    const std::unique_ptr<char, decltype(&std::free)> line(readline("cypresswall> "), &std::free);
    if (line == nullptr) {
      break;
    }
    const std::string command(line.get());
    if (command.find_first_not_of(" \t") == std::string::npos) {
      continue;
    }
    add_history(command.c_str());
    if (command == "exit" || command == "quit") {
      break;
    }
    run(command);
  }
  if (!file.empty()) {
    write_history(file.c_str());
  }
}

}  // namespace cypresswall::cypressctl
