/// Parser for the body of an OpenAI completion request; its memory use is bounded.
#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace cypresswall::gateway {

enum class CompletionKind : std::uint8_t {
  kChat,  ///< POST /v1/chat/completions
  kText,  ///< POST /v1/completions
};

struct ChatMessage {
  std::string role;
  std::string content;
};

struct CompletionRequest {
  CompletionKind kind = CompletionKind::kChat;
  std::string model;
  /// The text sent to the engine; for chats, the messages joined by promptOfMessages().
  std::string prompt;
  /// Zero if not given by the caller.
  std::uint32_t maximum_tokens = 0;
  bool stream = false;
  /// If set, a stream ends with an event that contains the usage.
  bool include_usage = false;
};

/// Maximum number of messages in a chat.
inline constexpr std::size_t kMaximumMessages = 10000;
/// Maximum nesting depth of a request body.
inline constexpr std::size_t kMaximumNesting = 64;

/// Joins messages into one prompt: each message is preceded by a marker with its role, and the
/// prompt ends with the assistant's marker. Chats with a common prefix of messages give prompts
/// with a common prefix, so that cached prefixes can be reused.
std::string promptOfMessages(const std::vector<ChatMessage>& messages);

/// Parses a request body. Unknown fields are ignored.
/// \throws RequestError (400) that names the invalid field
CompletionRequest parseCompletionRequest(CompletionKind kind, std::string_view body);

}  // namespace cypresswall::gateway
