/// Formats the answers to completion requests as defined by the OpenAI API.
#pragma once

#include <cstdint>
#include <string>
#include <string_view>

#include "cypresswall/engines/engine_types.h"
#include "cypresswall/gateway/completion_request.h"

namespace cypresswall::gateway {

/// Appends `text`, escaped as the content of a JSON string. Invalid UTF-8 is replaced by U+FFFD.
void appendJsonEscaped(std::string& out, std::string_view text);

/// Fields common to all events and bodies of one answer.
struct CompletionIdentity {
  CompletionKind kind = CompletionKind::kChat;
  std::string request_id;
  /// Model name as given by the caller.
  std::string model;
  /// Unix time in seconds.
  std::int64_t created = 0;
};

/// Formats the events of one streamed answer. The constant parts of token events are built once.
class StreamFormatter {
 public:
  explicit StreamFormatter(const CompletionIdentity& identity);

  /// \return the first event of a chat answer; empty for text completions.
  std::string firstEvent() const;
  /// Appends the event for one token.
  void appendToken(std::string& out, std::string_view text) const {
    out += token_prefix_;
    appendJsonEscaped(out, text);
    out += token_suffix_;
  }
  /// \return the events that complete an answer, including "data: [DONE]".
  std::string finalEvents(const engines::StreamUsage& usage, bool include_usage) const;

 private:
  CompletionKind kind_;
  /// "data: {...,"choices":[", the common start of all events.
  std::string event_prefix_;
  std::string token_prefix_;
  std::string_view token_suffix_;
};

/// \return the body of a non-streamed answer.
std::string completeAnswer(const CompletionIdentity& identity, std::string_view text,
                           const engines::StreamUsage& usage);

/// \return the usage object {"prompt_tokens": ...} of the OpenAI API.
std::string usageJson(const engines::StreamUsage& usage);

}  // namespace cypresswall::gateway
