#include "cypresswall/request_trace/log_record_parser.h"

#include <array>
#include <charconv>
#include <string>
#include <utility>

#include "cypresswall/request_trace/log_fields.h"

namespace cypresswall::request_trace {
namespace {

constexpr std::string_view kTimeShape = "dddd-dd-ddTdd:dd:dd.dddZ";

/// Reads the values of one event, and records whether a mandatory value is missing.
class FieldReader {
 public:
  explicit FieldReader(const LogFields& fields) : fields_(fields) {}

  std::string text(std::string_view key) {
    complete_ = complete_ && fields_.has(key);
    return fields_.text(key);
  }
  std::string optionalText(std::string_view key) const { return fields_.text(key); }
  std::int64_t number(std::string_view key) {
    const auto number = fields_.number(key);
    complete_ = complete_ && number.has_value();
    return number.value_or(0);
  }
  std::optional<std::int64_t> optionalNumber(std::string_view key) const {
    return fields_.number(key);
  }
  Milliseconds milliseconds(std::string_view key) { return Milliseconds(number(key)); }
  bool has(std::string_view key) const { return fields_.has(key); }
  bool complete() const { return complete_; }

 private:
  const LogFields& fields_;
  bool complete_ = true;
};

Event readRouted(FieldReader& fields) {
  RequestRouted event;
  event.request = fields.text("request");
  event.service = fields.text("service");
  event.engine = fields.text("engine");
  event.prefill_engine = fields.text("prefill_engine");
  event.tokens_given = fields.optionalNumber("tokens_given");
  event.prompt_tokens = fields.number("prompt_tokens");
  event.cached_tokens = fields.number("cached_tokens");
  event.copied_tokens = fields.number("copied_tokens");
  event.copied_from = fields.text("copied_from");
  event.known_holders = fields.number("known_holders");
  event.expected_wait = fields.milliseconds("expected_wait_ms");
  event.expected_prompt = fields.milliseconds("expected_prompt_ms");
  event.expected_first_token = fields.milliseconds("expected_first_token_ms");
  event.time_left = fields.milliseconds("time_left_ms");
  return event;
}

/// Parses an event `request_refused`. Both the front end and the router log such events; only those
/// of the front end have a status.
Event readRefused(FieldReader& fields) {
  if (fields.has("status")) {
    return FrontEndRefusal{fields.text("request"), fields.number("status"), fields.text("code"),
                           fields.text("reason")};
  }
  LatencyRefusal event;
  event.request = fields.text("request");
  event.service = fields.text("service");
  event.engine = fields.text("engine");
  event.expected_wait = fields.milliseconds("expected_wait_ms");
  event.expected_first_token = fields.milliseconds("expected_first_token_ms");
  event.limit = fields.milliseconds("limit_ms");
  event.report_age = fields.milliseconds("report_age_ms");
  event.retry_after = fields.milliseconds("retry_after_ms");
  return event;
}

Event readPromptComputed(FieldReader& fields) {
  return PromptComputed{fields.text("request"), fields.text("engine"),
                        fields.milliseconds("after_ms")};
}

Event readFirstToken(FieldReader& fields) {
  return FirstToken{fields.text("request"), fields.text("engine"), fields.milliseconds("after_ms")};
}

Event readAttemptFailed(FieldReader& fields) {
  return AttemptFailed{fields.text("request"), fields.text("engine"), fields.number("tokens_given"),
                       fields.text("reason")};
}

Event readMoved(FieldReader& fields) {
  return StreamMoved{fields.text("request"),
                     fields.text("from"),
                     fields.text("to"),
                     fields.number("tokens_given"),
                     fields.number("tokens_left"),
                     fields.milliseconds("gap_ms"),
                     fields.optionalNumber("time_left_ms")};
}

Event readTooSlow(FieldReader& fields) {
  return OutputTooSlow{fields.text("request"),        fields.text("engine"),
                       fields.number("tokens_given"), fields.number("tokens_left"),
                       fields.milliseconds("gap_ms"), fields.milliseconds("needed_gap_ms"),
                       fields.text("stayed")};
}

Event readModelFailed(FieldReader& fields) {
  return RequestFailed{fields.text("request"), RequestKind::kModel, fields.text("outcome"),
                       fields.text("reason")};
}

Event readServiceFailed(FieldReader& fields) {
  return RequestFailed{fields.text("request"), RequestKind::kService, fields.text("outcome"),
                       fields.text("reason")};
}

Event readEnded(FieldReader& fields) {
  return RequestEnded{fields.text("request"), fields.text("service"), fields.text("result"),
                      fields.text("reason"), fields.optionalNumber("output_tokens")};
}

Event readConfiguration(FieldReader& fields) {
  return ConfigurationApplied{fields.number("version"), fields.optionalNumber("runners")};
}

Event readEjected(FieldReader& fields) {
  return EngineEjected{fields.text("engine"), fields.text("source"), fields.text("failure"),
                       fields.number("in_a_row"), fields.milliseconds("for_ms")};
}

Event readChangeStarted(FieldReader& fields) {
  return EngineChangeStarted{fields.text("engine"), fields.text("epoch"), fields.text("order"),
                             fields.text("role"), fields.text("reason")};
}

Event readChangeEnded(FieldReader& fields) {
  return EngineChangeEnded{fields.text("engine"), fields.text("epoch"), fields.text("outcome"),
                           fields.milliseconds("after_ms")};
}

Event readWatchFailed(FieldReader& fields) {
  return StoreWatchFailed{fields.text("kind"), fields.text("call"), fields.number("revision"),
                          fields.text("reason")};
}

Event readSourceChanged(FieldReader& fields) {
  return StoreSourceChanged{fields.text("topic"), fields.text("source"), fields.number("revision")};
}

Event readStarted(FieldReader& fields) { return NodeStarted{fields.text("version")}; }

Event readStopping(FieldReader& fields) { return NodeStopping{fields.number("in_flight")}; }

Event readDropped(FieldReader& fields) { return LinesDropped{fields.number("lines")}; }

struct EventReader {
  std::string_view name;
  Event (*read)(FieldReader& fields);
};

constexpr auto kEventReaders = std::to_array<EventReader>({
    {"request_routed", readRouted},
    {"request_refused", readRefused},
    {"prompt_computed", readPromptComputed},
    {"first_token", readFirstToken},
    {"attempt_failed", readAttemptFailed},
    {"stream_moved", readMoved},
    {"output_too_slow", readTooSlow},
    {"request_failed", readModelFailed},
    {"service_request_failed", readServiceFailed},
    {"request_ended", readEnded},
    {"declared_fleet_changed", readConfiguration},
    {"configuration_in_force", readConfiguration},
    {"configuration_ready", readConfiguration},
    {"engine_ejected", readEjected},
    {"engine_change_started", readChangeStarted},
    {"engine_change_ended", readChangeEnded},
    {"store_watch_failed", readWatchFailed},
    {"store_source_changed", readSourceChanged},
    {"daemon_started", readStarted},
    {"stop_began", readStopping},
    {"log_lines_dropped", readDropped},
});

std::optional<Event> readEvent(const LogFields& fields) {
  const std::string name = fields.text("event");
  if (name.empty()) {
    return std::nullopt;
  }
  for (const EventReader& reader : kEventReaders) {
    if (reader.name == name) {
      FieldReader values(fields);
      Event event = reader.read(values);
      return values.complete() ? std::optional(std::move(event)) : std::nullopt;
    }
  }
  return OtherEvent{};
}

/// \return the `count` digits of `text` at `start` as a number
int digitsAt(std::string_view text, std::size_t start, std::size_t count) {
  int number = 0;
  std::from_chars(text.data() + start, text.data() + start + count, number);
  return number;
}

bool hasTimeShape(std::string_view text) {
  if (text.size() != kTimeShape.size()) {
    return false;
  }
  for (std::size_t index = 0; index < text.size(); ++index) {
    const bool digit = text[index] >= '0' && text[index] <= '9';
    if (kTimeShape[index] == 'd' ? !digit : text[index] != kTimeShape[index]) {
      return false;
    }
  }
  return true;
}

}  // namespace

std::optional<WallTime> parseWallTime(std::string_view text) {
  if (!hasTimeShape(text)) {
    return std::nullopt;
  }
  const std::chrono::year_month_day date{
      std::chrono::year(digitsAt(text, 0, 4)),
      std::chrono::month(static_cast<unsigned>(digitsAt(text, 5, 2))),
      std::chrono::day(static_cast<unsigned>(digitsAt(text, 8, 2)))};
  const std::chrono::hours hour(digitsAt(text, 11, 2));
  const std::chrono::minutes minute(digitsAt(text, 14, 2));
  const std::chrono::seconds second(digitsAt(text, 17, 2));
  if (!date.ok() || hour >= std::chrono::days(1) || minute >= std::chrono::hours(1) ||
      second >= std::chrono::minutes(1)) {
    return std::nullopt;
  }
  return std::chrono::sys_days(date) + hour + minute + second + Milliseconds(digitsAt(text, 20, 3));
}

std::optional<LogRecord> parseLogRecord(std::string_view line) {
  const auto fields = LogFields::read(line);
  if (!fields) {
    return std::nullopt;
  }
  const auto time = parseWallTime(fields->text("time"));
  auto event = readEvent(*fields);
  if (!time || !event) {
    return std::nullopt;
  }
  return LogRecord{*time, fields->text("node"), std::move(*event), {}};
}

}  // namespace cypresswall::request_trace
