/// Typed log events that describe the course of a request. Fields are optional if older builds of
/// the daemon do not log them.
#pragma once

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <tuple>
#include <variant>

namespace cypresswall::request_trace {

/// Wall-clock time of the node that wrote the line; clocks of different nodes may differ.
using WallTime = std::chrono::sys_time<std::chrono::milliseconds>;
using Milliseconds = std::chrono::milliseconds;

/// A node chose the engine of an attempt.
struct RequestRouted {
  std::string request;
  std::string service;
  std::string engine;
  /// Empty if `engine` does the prefill itself.
  std::string prefill_engine;
  std::optional<std::int64_t> tokens_given;
  std::int64_t prompt_tokens = 0;
  std::int64_t cached_tokens = 0;
  std::int64_t copied_tokens = 0;
  std::string copied_from;
  std::int64_t known_holders = 0;
  Milliseconds expected_wait{0};
  Milliseconds expected_prompt{0};
  Milliseconds expected_first_token{0};
  Milliseconds time_left{0};
};

/// A request was refused because no engine could meet its latency limits. The values are those of
/// the engine that came closest.
struct LatencyRefusal {
  std::string request;
  std::string service;
  std::string engine;
  Milliseconds expected_wait{0};
  Milliseconds expected_first_token{0};
  Milliseconds limit{0};
  Milliseconds report_age{0};
  Milliseconds retry_after{0};
};

/// The front end rejected a request before routing.
struct FrontEndRefusal {
  std::string request;
  std::int64_t status = 0;
  std::string code;
  std::string reason;
};

struct PromptComputed {
  std::string request;
  std::string engine;
  Milliseconds after_routed{0};
};

struct FirstToken {
  std::string request;
  std::string engine;
  Milliseconds after_routed{0};
};

struct AttemptFailed {
  std::string request;
  std::string engine;
  std::int64_t tokens_given = 0;
  std::string reason;
};

/// A stream was moved to another engine because its output was too slow.
struct StreamMoved {
  std::string request;
  std::string from;
  std::string to;
  std::int64_t tokens_given = 0;
  std::int64_t tokens_left = 0;
  Milliseconds gap{0};
  std::optional<std::int64_t> time_left;
};

/// A request ended incomplete because the output of its engine was too slow.
struct OutputTooSlow {
  std::string request;
  std::string engine;
  std::int64_t tokens_given = 0;
  /// Expected number of tokens that were still to come.
  std::int64_t tokens_left = 0;
  /// Time between two tokens, and the longest with which the answer would have been complete in
  /// time.
  Milliseconds gap{0};
  Milliseconds needed_gap{0};
  /// Why the stream was not moved to another engine; empty if that was not considered.
  std::string stayed;
};

enum class RequestKind { kModel, kService };

struct RequestFailed {
  std::string request;
  RequestKind kind = RequestKind::kModel;
  /// `not-run` or `unknown`.
  std::string outcome;
  std::string reason;
};

struct RequestEnded {
  std::string request;
  std::string service;
  /// `done`, `not-run`, `unknown` or `caller-gone`.
  std::string result;
  std::string reason;
  std::optional<std::int64_t> output_tokens;
};

/// A node applied a configuration version.
struct ConfigurationApplied {
  std::int64_t version = 0;
  std::optional<std::int64_t> runners;
};

/// A node ejected an engine: it sends the engine no requests until `duration` has passed.
struct EngineEjected {
  std::string engine;
  std::string source;
  std::string failure;
  std::int64_t in_a_row = 0;
  Milliseconds duration{0};
};

struct EngineChangeStarted {
  std::string engine;
  std::string epoch;
  std::string order;
  std::string role;
  std::string reason;
};

struct EngineChangeEnded {
  std::string engine;
  std::string epoch;
  std::string outcome;
  Milliseconds took{0};
};

struct StoreWatchFailed {
  std::string kind;
  std::string call;
  std::int64_t revision = 0;
  std::string reason;
};

struct StoreSourceChanged {
  std::string topic;
  /// `store` or `readers`.
  std::string source;
  std::int64_t revision = 0;
};

struct NodeStarted {
  std::string version;
};

struct NodeStopping {
  std::int64_t in_flight = 0;
};

/// A node dropped log lines because the program that reads its log output had stalled.
struct LinesDropped {
  std::int64_t lines = 0;
};

/// Any event that explanations of requests do not use.
struct OtherEvent {};

using Event =
    std::variant<OtherEvent, RequestRouted, LatencyRefusal, FrontEndRefusal, PromptComputed,
                 FirstToken, AttemptFailed, StreamMoved, OutputTooSlow, RequestFailed, RequestEnded,
                 ConfigurationApplied, EngineEjected, EngineChangeStarted, EngineChangeEnded,
                 StoreWatchFailed, StoreSourceChanged, NodeStarted, NodeStopping, LinesDropped>;

/// Position of a line in the logs that are read together.
struct LogPosition {
  /// Index of the log, from 0.
  std::size_t log = 0;
  /// Number of the line within the log, from 1.
  std::uint64_t line = 0;
};

inline bool operator<(const LogPosition& left, const LogPosition& right) {
  return std::tie(left.log, left.line) < std::tie(right.log, right.line);
}

/// One line of a node's log.
struct LogRecord {
  WallTime time{};
  std::string node;
  Event event;
  LogPosition position{};
};

/// \return the identifier of the request that the event belongs to; empty if it belongs to none
std::string requestOf(const Event& event);

}  // namespace cypresswall::request_trace
