#include "cypresswall/request_trace/time_line_rendering.h"

#include <fmt/format.h>

#include <algorithm>

#include "cypresswall/request_trace/event_text.h"

namespace cypresswall::request_trace {
namespace {

/// Replaces control characters by `?`. Logs contain text that clients supplied, in which control
/// characters could form escape sequences that control the operator's terminal.
std::string printable(std::string text) {
  constexpr unsigned char kDelete = 0x7f;
  std::replace_if(
      text.begin(), text.end(),
      [](char character) {
        const auto code = static_cast<unsigned char>(character);
        return code < ' ' || code == kDelete;
      },
      '?');
  return text;
}

WallTime startOf(const TimeLine& time_line) {
  const auto own = std::find_if(
      time_line.records.begin(), time_line.records.end(),
      [&](const LogRecord& record) { return requestOf(record.event) == time_line.request; });
  return own == time_line.records.end() ? WallTime{} : own->time;
}

/// \return the output line for one log line; an asterisk marks lines that don't name the request.
std::string renderRecord(const LogRecord& record, const std::string& request, WallTime start) {
  const char mark = requestOf(record.event) == request ? ' ' : '*';
  const auto offset = (record.time - start).count();
  return printable(fmt::format("{} {} {:>+8} ms  {}  {}", mark, timeOfDay(record.time), offset,
                               record.node, toText(record)));
}

std::string resultOf(const Attempt& attempt) {
  if (attempt.failure) {
    const bool at_other = attempt.failure->engine != attempt.route.engine;
    return fmt::format("failed{}, tokens given {}: {}",
                       at_other ? " at " + attempt.failure->engine : std::string(),
                       attempt.failure->tokens_given, attempt.failure->reason);
  }
  if (attempt.end) {
    return attempt.end->result == "done" ? "answered"
                                         : fmt::format("under way when the request ended, {} ({})",
                                                       attempt.end->result, attempt.end->reason);
  }
  return "no line tells its end";
}

std::string renderAttempt(const Attempt& attempt, std::size_t number) {
  std::string text = fmt::format("  {}. {}", number, attempt.route.engine);
  if (!attempt.route.prefill_engine.empty()) {
    text += ", prompt on " + attempt.route.prefill_engine;
  }
  if (attempt.prompt_computed) {
    text +=
        fmt::format(", prompt in {} ({} expected with the wait)", toText(*attempt.prompt_computed),
                    toText(attempt.route.expected_wait + attempt.route.expected_prompt));
  }
  if (attempt.first_token) {
    text += fmt::format(", first token in {} ({} expected)", toText(*attempt.first_token),
                        toText(attempt.route.expected_first_token));
  }
  return printable(text + ": " + resultOf(attempt));
}

}  // namespace

std::string renderTimeLine(const TimeLine& time_line, const Diagnosis& diagnosis) {
  const WallTime start = startOf(time_line);
  std::string text = fmt::format("request {} on {} (UTC; * did not name the request)\n",
                                 printable(time_line.request), dayOf(start));
  for (const LogRecord& record : time_line.records) {
    text += renderRecord(record, time_line.request, start) + "\n";
  }
  text += time_line.attempts.empty() ? "no line tells of an attempt\n" : "attempts\n";
  for (std::size_t index = 0; index < time_line.attempts.size(); ++index) {
    text += renderAttempt(time_line.attempts[index], index + 1) + "\n";
  }
  return text +
         printable("outcome: " + diagnosis.outcome + "; most likely cause: " + diagnosis.cause) +
         "\n";
}

std::string renderUnreadable(const std::vector<ScanCount>& counts) {
  std::string text;
  for (const ScanCount& count : counts) {
    if (count.unreadable > 0) {
      text += fmt::format("{}: {} of {} lines can't be read, the first is line {}\n", count.log,
                          count.unreadable, count.lines, count.first_unreadable);
    }
  }
  return text;
}

}  // namespace cypresswall::request_trace
