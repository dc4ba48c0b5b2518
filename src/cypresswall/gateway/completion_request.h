/// The body of an OpenAI completion request, read with bounded memory.
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
  /// The text that the engine gets; a chat's messages joined by promptOfMessages().
  std::string prompt;
  /// Zero if the caller named none.
  std::uint32_t maximum_tokens = 0;
  bool stream = false;
  /// A stream ends with an event that holds the usage.
  bool include_usage = false;
};

/// Largest number of messages in one chat, and deepest nesting of a body.
inline constexpr std::size_t kMaximumMessages = 10000;
inline constexpr std::size_t kMaximumNesting = 64;

/// Joins messages into one prompt: a marker with the role before each, and the assistant's marker
/// at the end. Equal beginnings of chats give equal beginnings of prompts.
std::string promptOfMessages(const std::vector<ChatMessage>& messages);

/// Reads a request body. Unknown fields are skipped. \throws RequestError (400) naming the field
CompletionRequest parseCompletionRequest(CompletionKind kind, std::string_view body);

}  // namespace cypresswall::gateway
