#include "cypresswall/gateway/completion_format.h"

#include <algorithm>
#include <cstddef>

namespace cypresswall::gateway {
namespace {

constexpr std::string_view kHexDigits = "0123456789abcdef";
constexpr std::string_view kReplacementCharacter = "\xEF\xBF\xBD";
constexpr std::string_view kChatTokenSuffix = "\"},\"finish_reason\":null}]}\n\n";
constexpr std::string_view kTextTokenSuffix = "\",\"finish_reason\":null}]}\n\n";
constexpr std::string_view kDone = "data: [DONE]\n\n";

bool isPlain(unsigned char byte) {
  return byte >= ' ' && byte < 0x80 && byte != '"' && byte != '\\';
}

void appendEscapedAscii(std::string& out, unsigned char byte) {
  switch (byte) {
    case '"':
      out += "\\\"";
      break;
    case '\\':
      out += "\\\\";
      break;
    case '\n':
      out += "\\n";
      break;
    case '\t':
      out += "\\t";
      break;
    case '\r':
      out += "\\r";
      break;
    default:
      out += "\\u00";
      out += kHexDigits[byte >> 4];
      out += kHexDigits[byte & 0xf];
  }
}

bool isContinuation(unsigned char byte) { return (byte & 0xC0) == 0x80; }

/// \return the length of the UTF-8 sequence at the start of `text`, or zero if it is invalid.
std::size_t utf8Length(std::string_view text) {
  const auto byte = [&](std::size_t at) { return static_cast<unsigned char>(text[at]); };
  const unsigned char lead = byte(0);
  std::size_t length = 0;
  if (lead >= 0xC2 && lead <= 0xDF) {
    length = 2;
  } else if (lead >= 0xE0 && lead <= 0xEF) {
    length = 3;
  } else if (lead >= 0xF0 && lead <= 0xF4) {
    length = 4;
  }
  if (length == 0 || text.size() < length) {
    return 0;
  }
  for (std::size_t at = 1; at < length; ++at) {
    if (!isContinuation(byte(at))) {
      return 0;
    }
  }
  // Rejects overlong encodings, surrogates and code points above U+10FFFF.
  const unsigned char second = byte(1);
  const bool forbidden = (lead == 0xE0 && second < 0xA0) || (lead == 0xED && second >= 0xA0) ||
                         (lead == 0xF0 && second < 0x90) || (lead == 0xF4 && second >= 0x90);
  return forbidden ? 0 : length;
}

std::string quotedJson(std::string_view text) {
  std::string out = "\"";
  appendJsonEscaped(out, text);
  out += '"';
  return out;
}

std::string answerId(const CompletionIdentity& identity) {
  return (identity.kind == CompletionKind::kChat ? "chatcmpl-" : "cmpl-") + identity.request_id;
}

/// \return `{"id":...,"object":...,"created":...,"model":...,"choices":[`
std::string commonPart(const CompletionIdentity& identity, std::string_view object) {
  return "{\"id\":" + quotedJson(answerId(identity)) + ",\"object\":" + quotedJson(object) +
         ",\"created\":" + std::to_string(identity.created) +
         ",\"model\":" + quotedJson(identity.model) + ",\"choices\":[";
}

}  // namespace

void appendJsonEscaped(std::string& out, std::string_view text) {
  std::size_t at = 0;
  while (at < text.size()) {
    const auto special =
        std::find_if_not(text.begin() + static_cast<std::ptrdiff_t>(at), text.end(),
                         [](char c) { return isPlain(static_cast<unsigned char>(c)); });
    const auto plain = static_cast<std::size_t>(special - text.begin()) - at;
    out.append(text.substr(at, plain));
    at += plain;
    if (at == text.size()) {
      return;
    }
    const auto byte = static_cast<unsigned char>(text[at]);
    if (byte < 0x80) {
      appendEscapedAscii(out, byte);
      ++at;
      continue;
    }
    const std::size_t length = utf8Length(text.substr(at));
    out.append(length == 0 ? kReplacementCharacter : text.substr(at, length));
    at += std::max<std::size_t>(length, 1);
  }
}

StreamFormatter::StreamFormatter(const CompletionIdentity& identity) : kind_(identity.kind) {
  const bool chat = kind_ == CompletionKind::kChat;
  event_prefix_ =
      "data: " + commonPart(identity, chat ? "chat.completion.chunk" : "text_completion");
  token_prefix_ =
      event_prefix_ + (chat ? R"({"index":0,"delta":{"content":")" : R"({"index":0,"text":")");
  token_suffix_ = chat ? kChatTokenSuffix : kTextTokenSuffix;
}

std::string StreamFormatter::firstEvent() const {
  if (kind_ == CompletionKind::kText) {
    return {};
  }
  return event_prefix_ +
         "{\"index\":0,\"delta\":{\"role\":\"assistant\",\"content\":\"\"},"
         "\"finish_reason\":null}]}\n\n";
}

std::string StreamFormatter::finalEvents(const engines::StreamUsage& usage,
                                         bool include_usage) const {
  const bool chat = kind_ == CompletionKind::kChat;
  std::string out = event_prefix_ +
                    (chat ? R"({"index":0,"delta":{},)" : R"({"index":0,"text":"",)") +
                    "\"finish_reason\":" + quotedJson(usage.finish_reason) + "}]}\n\n";
  if (include_usage) {
    out += event_prefix_ + "],\"usage\":" + usageJson(usage) + "}\n\n";
  }
  out += kDone;
  return out;
}

std::string completeAnswer(const CompletionIdentity& identity, std::string_view text,
                           const engines::StreamUsage& usage) {
  const bool chat = identity.kind == CompletionKind::kChat;
  std::string out = commonPart(identity, chat ? "chat.completion" : "text_completion");
  out.reserve(out.size() + text.size() + 512);
  out +=
      chat ? R"({"index":0,"message":{"role":"assistant","content":")" : R"({"index":0,"text":")";
  appendJsonEscaped(out, text);
  out += chat ? "\"}" : "\"";
  out +=
      ",\"logprobs\":null,\"finish_reason\":" + quotedJson(usage.finish_reason) + "}],\"usage\":";
  out += usageJson(usage) + "}";
  return out;
}

std::string usageJson(const engines::StreamUsage& usage) {
  const auto total = std::uint64_t{usage.prompt_tokens} + usage.output_tokens;
  return "{\"prompt_tokens\":" + std::to_string(usage.prompt_tokens) +
         ",\"completion_tokens\":" + std::to_string(usage.output_tokens) +
         ",\"total_tokens\":" + std::to_string(total) +
         ",\"prompt_tokens_details\":{\"cached_tokens\":" +
         std::to_string(usage.cached_prompt_tokens) + "}}";
}

}  // namespace cypresswall::gateway
