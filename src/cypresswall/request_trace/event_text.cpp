#include "cypresswall/request_trace/event_text.h"

#include <fmt/format.h>

namespace cypresswall::request_trace {
namespace {

std::string tokensOf(const RequestRouted& event) {
  std::string text = fmt::format("{} tokens, {} cached", event.prompt_tokens, event.cached_tokens);
  if (event.copied_tokens > 0) {
    text += fmt::format(", {} to copy from {}", event.copied_tokens, event.copied_from);
  }
  return text + fmt::format(", {} holders known", event.known_holders);
}

/// Describes an event that was logged at `time`.
struct EventDescriber {
  WallTime time;

  std::string operator()(const OtherEvent&) const { return {}; }
  std::string operator()(const RequestRouted& event) const {
    const std::string prompt =
        event.prefill_engine.empty() ? "" : ", prompt on " + event.prefill_engine;
    const std::string resumed = event.tokens_given.value_or(0) > 0
                                    ? fmt::format(", goes on after token {}", *event.tokens_given)
                                    : "";
    return fmt::format(
        "routed to {}{}{}: {}; expected: wait {}, prompt {}, first token {}; {} left", event.engine,
        prompt, resumed, tokensOf(event), toText(event.expected_wait),
        toText(event.expected_prompt), toText(event.expected_first_token), toText(event.time_left));
  }
  std::string operator()(const LatencyRefusal& event) const {
    return fmt::format(
        "refused: the best engine {} is expected to give the first token in {} (wait {}), the "
        "limit is {}; its report is {} old; come back in {}",
        event.engine, toText(event.expected_first_token), toText(event.expected_wait),
        toText(event.limit), toText(event.report_age), toText(event.retry_after));
  }
  std::string operator()(const FrontEndRefusal& event) const {
    return fmt::format("refused at the front: {} {}: {}", event.status, event.code, event.reason);
  }
  std::string operator()(const PromptComputed& event) const {
    return fmt::format("prompt computed by {}, {} after the route", event.engine,
                       toText(event.after_routed));
  }
  std::string operator()(const FirstToken& event) const {
    return fmt::format("first token from {}, {} after the route", event.engine,
                       toText(event.after_routed));
  }
  std::string operator()(const AttemptFailed& event) const {
    return fmt::format("attempt failed at {}, tokens given {}: {}", event.engine,
                       event.tokens_given, event.reason);
  }
  std::string operator()(const StreamMoved& event) const {
    const std::string left =
        event.time_left ? fmt::format(" and {}", toText(Milliseconds(*event.time_left))) : "";
    return fmt::format("moved from {} to {}: {} tokens given, one each {}, some {} tokens{} left",
                       event.from, event.to, event.tokens_given, toText(event.gap),
                       event.tokens_left, left);
  }
  std::string operator()(const OutputTooSlow& event) const {
    return fmt::format("output too slow on {}: {} tokens given, one each {}, {} were needed",
                       event.engine, event.tokens_given, toText(event.gap),
                       toText(event.needed_gap));
  }
  std::string operator()(const RequestFailed& event) const {
    return fmt::format("{} failed, {}: {}",
                       event.kind == RequestKind::kModel ? "request" : "service request",
                       event.outcome, event.reason);
  }
  std::string operator()(const RequestEnded& event) const {
    const std::string tokens =
        event.output_tokens ? fmt::format(", {} tokens given", *event.output_tokens) : "";
    return fmt::format("ended at the front, {} ({}){}", event.result, event.reason, tokens);
  }
  std::string operator()(const ConfigurationApplied& event) const {
    const std::string runners =
        event.runners ? fmt::format(", {} runners known", *event.runners) : "";
    return fmt::format("configuration version {} taken{}", event.version, runners);
  }
  std::string operator()(const EngineEjected& event) const {
    return fmt::format("{} ejected, {} by {}, {} in a row; readmitted at {}", event.engine,
                       event.failure, event.source, event.in_a_row,
                       timeOfDay(time + event.duration));
  }
  std::string operator()(const EngineChangeStarted& event) const {
    return fmt::format("{} changes: {} {} under epoch {}: {}", event.engine, event.order,
                       event.role, event.epoch, event.reason);
  }
  std::string operator()(const EngineChangeEnded& event) const {
    return fmt::format("change of {} under epoch {} ended, {} after {}", event.engine, event.epoch,
                       event.outcome, toText(event.took));
  }
  std::string operator()(const StoreWatchFailed& event) const {
    return fmt::format("store not read: {} of {} at revision {}: {}", event.call, event.kind,
                       event.revision, event.reason);
  }
  std::string operator()(const StoreSourceChanged& event) const {
    return fmt::format("{} now read from {}, revision {}", event.topic,
                       event.source == "store" ? "the store itself" : "the zone's readers",
                       event.revision);
  }
  std::string operator()(const NodeStarted& event) const {
    return "node started, version " + event.version;
  }
  std::string operator()(const NodeStopping& event) const {
    return fmt::format("node began to stop, {} requests in flight", event.in_flight);
  }
  std::string operator()(const LinesDropped& event) const {
    return fmt::format("{} lines of the log were dropped before this one", event.lines);
  }
};

}  // namespace

std::string toText(const LogRecord& record) {
  return std::visit(EventDescriber{record.time}, record.event);
}

std::string timeOfDay(WallTime time) {
  const auto milliseconds = (time - std::chrono::floor<std::chrono::days>(time)).count();
  const auto seconds = milliseconds / 1000;
  return fmt::format("{:02}:{:02}:{:02}.{:03}", seconds / 3600, seconds / 60 % 60, seconds % 60,
                     milliseconds % 1000);
}

std::string dayOf(WallTime time) {
  const std::chrono::year_month_day day(std::chrono::floor<std::chrono::days>(time));
  return fmt::format("{:04}-{:02}-{:02}", static_cast<int>(day.year()),
                     static_cast<unsigned>(day.month()), static_cast<unsigned>(day.day()));
}

std::string toText(Milliseconds duration) { return fmt::format("{} ms", duration.count()); }

}  // namespace cypresswall::request_trace
