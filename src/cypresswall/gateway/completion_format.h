/// Writes the answers of completion requests in the shapes of the OpenAI API.
#pragma once

#include <cstdint>
#include <string>
#include <string_view>

#include "cypresswall/engines/engine_types.h"
#include "cypresswall/gateway/completion_request.h"

namespace cypresswall::gateway {

/// Appends `text` as the inside of a JSON string. Bytes that are not UTF-8 become U+FFFD.
void appendJsonEscaped(std::string& out, std::string_view text);

/// What all events and bodies of one answer have in common.
struct CompletionIdentity {
  CompletionKind kind = CompletionKind::kChat;
  std::string request_id;
  /// Model as the caller named it.
  std::string model;
  /// Seconds since 1970.
  std::int64_t created = 0;
};

/// Formats the events of one streamed answer. The constant parts of a token's event are built once.
class StreamFormat {
 public:
  explicit StreamFormat(const CompletionIdentity& identity);

  /// \return the event that opens a chat answer; empty for text completions.
  std::string opening() const;
  /// Appends the event of one token.
  void appendToken(std::string& out, std::string_view text) const {
    out += token_prefix_;
    appendJsonEscaped(out, text);
    out += token_suffix_;
  }
  /// \return the last events of a whole answer, up to "data: [DONE]".
  std::string ending(const engines::StreamUsage& usage, bool include_usage) const;

 private:
  CompletionKind kind_;
  /// "data: {...,"choices":[", common to all events.
  std::string event_prefix_;
  std::string token_prefix_;
  std::string_view token_suffix_;
};

/// \return the body of an answer that is not streamed.
std::string wholeAnswer(const CompletionIdentity& identity, std::string_view text,
                        const engines::StreamUsage& usage);

/// \return {"prompt_tokens": ...} as the OpenAI API has it.
std::string usageJson(const engines::StreamUsage& usage);

}  // namespace cypresswall::gateway
