#include "cypresswall/gateway/completion_request.h"

#include <limits>
#include <nlohmann/json.hpp>
#include <optional>
#include <utility>

#include "cypresswall/gateway/error_answer.h"

namespace cypresswall::gateway {
namespace {

using Json = nlohmann::json;

/// A position in the body from which the parser takes a value, or kIgnored for any other position.
enum class Node : std::uint8_t {
  kRoot,
  kModel,
  kStream,
  kStreamOptions,
  kIncludeUsage,
  kMaximumTokens,
  kChoiceCount,
  kPrompt,
  kPromptItem,
  kMessages,
  kMessage,
  kRole,
  kContent,
  kPart,
  kPartType,
  kPartText,
  kIgnored,
};

Node memberOfRoot(std::string_view key) {
  if (key == "model") {
    return Node::kModel;
  }
  if (key == "messages") {
    return Node::kMessages;
  }
  if (key == "prompt") {
    return Node::kPrompt;
  }
  if (key == "stream") {
    return Node::kStream;
  }
  if (key == "stream_options") {
    return Node::kStreamOptions;
  }
  if (key == "max_tokens" || key == "max_completion_tokens") {
    return Node::kMaximumTokens;
  }
  return key == "n" ? Node::kChoiceCount : Node::kIgnored;
}

/// \return the node of member `key` of the object at `parent`.
Node memberOf(Node parent, std::string_view key) {
  switch (parent) {
    case Node::kRoot:
      return memberOfRoot(key);
    case Node::kStreamOptions:
      return key == "include_usage" ? Node::kIncludeUsage : Node::kIgnored;
    case Node::kMessage:
      if (key == "content") {
        return Node::kContent;
      }
      return key == "role" ? Node::kRole : Node::kIgnored;
    case Node::kPart:
      if (key == "text") {
        return Node::kPartText;
      }
      return key == "type" ? Node::kPartType : Node::kIgnored;
    default:
      return Node::kIgnored;
  }
}

/// \return the node of the items of the array at `parent`.
Node itemOf(Node parent) {
  switch (parent) {
    case Node::kMessages:
      return Node::kMessage;
    case Node::kContent:
      return Node::kPart;
    case Node::kPrompt:
      return Node::kPromptItem;
    default:
      return Node::kIgnored;
  }
}

bool isObject(Node node) {
  return node == Node::kRoot || node == Node::kMessage || node == Node::kPart ||
         node == Node::kStreamOptions;
}

bool isArray(Node node) {
  return node == Node::kMessages || node == Node::kContent || node == Node::kPrompt;
}

/// \return the field name used in error answers.
const char* nameOf(Node node) {
  switch (node) {
    case Node::kModel:
      return "model";
    case Node::kStream:
      return "stream";
    case Node::kStreamOptions:
    case Node::kIncludeUsage:
      return "stream_options";
    case Node::kMaximumTokens:
      return "max_tokens";
    case Node::kChoiceCount:
      return "n";
    case Node::kPrompt:
    case Node::kPromptItem:
      return "prompt";
    case Node::kMessages:
    case Node::kMessage:
    case Node::kRole:
    case Node::kContent:
    case Node::kPart:
    case Node::kPartType:
    case Node::kPartText:
      return "messages";
    case Node::kRoot:
    case Node::kIgnored:
      return "";
  }
  return "";
}

/// SAX parser for the body: unused fields are not stored, so that deeply nested or very wide bodies
/// need no extra memory.
class RequestReader final : public nlohmann::json_sax<Json> {
 public:
  explicit RequestReader(CompletionKind kind) { request_.kind = kind; }

  bool null() override {
    const Node node = valueNode();
    // Optional fields and the content of a message (for tool calls) may be null.
    return node == Node::kModel || node == Node::kRole || node == Node::kMessage ||
                   node == Node::kRoot || node == Node::kPart || node == Node::kPromptItem
               ? wrongType(node)
               : true;
  }
  bool boolean(bool value) override {
    const Node node = valueNode();
    if (node == Node::kStream) {
      request_.stream = value;
    } else if (node == Node::kIncludeUsage) {
      request_.include_usage = value;
    } else {
      return wrongType(node);
    }
    return true;
  }
  bool number_integer(number_integer_t) override { return outOfRange(valueNode()); }  // NOLINT
  bool number_unsigned(number_unsigned_t value) override {                            // NOLINT
    const Node node = valueNode();
    if (node == Node::kMaximumTokens) {
      return setMaximumTokens(value);
    }
    if (node == Node::kChoiceCount) {
      return value == 1 || fail("only one choice is given", node, "unsupported_value");
    }
    return wrongType(node);
  }
  bool number_float(number_float_t, const string_t&) override {  // NOLINT
    return wrongType(valueNode());
  }
  bool string(string_t& value) override;
  bool binary(binary_t&) override { return wrongType(valueNode()); }

  bool start_object(std::size_t) override {  // NOLINT
    const Node node = valueNode();
    if (node != Node::kIgnored && !isObject(node)) {
      return wrongType(node);
    }
    if (node == Node::kMessage && !startMessage()) {
      return false;
    }
    part_type_.clear();
    part_text_.clear();
    return push(node, false);
  }
  bool key(string_t& name) override {
    stack_.back().member = memberOf(stack_.back().node, name);
    return true;
  }
  bool end_object() override {  // NOLINT
    const Node node = stack_.back().node;
    stack_.pop_back();
    return node == Node::kPart ? endPart() : true;
  }
  bool start_array(std::size_t) override {  // NOLINT
    const Node node = valueNode();
    if (node != Node::kIgnored && !isArray(node)) {
      return wrongType(node);
    }
    if (node == Node::kMessages) {
      messages_.clear();
    }
    return push(node, true);
  }
  bool end_array() override {  // NOLINT
    stack_.pop_back();
    return true;
  }
  bool parse_error(std::size_t position, const std::string&,  // NOLINT
                   const nlohmann::detail::exception&) override {
    error_ = invalidRequestError("body is not valid JSON at byte " + std::to_string(position), "",
                                 "invalid_json");
    return false;
  }

  /// \pre the body was parsed completely, or an error is set
  CompletionRequest finish();
  const std::optional<ErrorAnswer>& error() const { return error_; }

 private:
  struct Frame {
    Node node;
    bool array;
    /// Node of the member whose key was read most recently.
    Node member;
  };

  /// \return the node of the next value.
  Node valueNode() const {
    if (stack_.empty()) {
      return Node::kRoot;
    }
    const Frame& frame = stack_.back();
    return frame.array ? itemOf(frame.node) : frame.member;
  }

  bool push(Node node, bool array) {
    if (stack_.size() >= kMaximumNesting) {
      return fail("body is nested too deeply", Node::kRoot, "invalid_json");
    }
    stack_.push_back({node, array, Node::kIgnored});
    return true;
  }

  bool fail(std::string message, Node node, const char* code) {
    error_ = invalidRequestError(std::move(message), nameOf(node), code);
    return false;
  }
  bool wrongType(Node node) {
    if (node == Node::kIgnored) {
      return true;
    }
    const std::string name = nameOf(node);
    return fail(
        name.empty() ? "body must be a JSON object" : "field '" + name + "' has a wrong type", node,
        "invalid_type");
  }
  bool outOfRange(Node node) {
    if (node != Node::kMaximumTokens && node != Node::kChoiceCount) {
      return wrongType(node);
    }
    return fail("field '" + std::string(nameOf(node)) + "' must be a positive number", node,
                "invalid_value");
  }

  bool setMaximumTokens(std::uint64_t value) {
    if (value == 0 || value > std::numeric_limits<std::uint32_t>::max()) {
      return outOfRange(Node::kMaximumTokens);
    }
    request_.maximum_tokens = static_cast<std::uint32_t>(value);
    return true;
  }
  bool setPromptItem(std::string& value) {
    if (has_prompt_) {
      return fail("only one prompt is taken", Node::kPrompt, "unsupported_value");
    }
    has_prompt_ = true;
    request_.prompt = std::move(value);
    return true;
  }
  bool startMessage() {
    if (messages_.size() >= kMaximumMessages) {
      return fail("too many messages", Node::kMessages, "invalid_value");
    }
    messages_.emplace_back();
    return true;
  }
  bool endPart() {
    if (part_type_ != "text") {
      return fail("only text parts are taken", Node::kPart, "unsupported_value");
    }
    messages_.back().content += part_text_;
    return true;
  }

  CompletionRequest request_;
  std::vector<ChatMessage> messages_;
  bool has_prompt_ = false;
  std::string part_type_;
  std::string part_text_;
  std::vector<Frame> stack_;
  std::optional<ErrorAnswer> error_;
};

bool RequestReader::string(string_t& value) {
  const Node node = valueNode();
  switch (node) {
    case Node::kModel:
      request_.model = std::move(value);
      return true;
    case Node::kPrompt:
    case Node::kPromptItem:
      return setPromptItem(value);
    case Node::kRole:
      messages_.back().role = std::move(value);
      return true;
    case Node::kContent:
      messages_.back().content = std::move(value);
      return true;
    case Node::kPartType:
      part_type_ = std::move(value);
      return true;
    case Node::kPartText:
      part_text_ = std::move(value);
      return true;
    default:
      return wrongType(node);
  }
}

CompletionRequest RequestReader::finish() {
  if (!error_ && request_.model.empty()) {
    fail("field 'model' is required", Node::kModel, "missing_field");
  }
  const bool chat = request_.kind == CompletionKind::kChat;
  if (!error_ && chat && messages_.empty()) {
    fail("field 'messages' is required", Node::kMessages, "missing_field");
  }
  if (!error_ && !chat && !has_prompt_) {
    fail("field 'prompt' is required", Node::kPrompt, "missing_field");
  }
  for (const ChatMessage& message : messages_) {
    if (!error_ && message.role.empty()) {
      fail("each message needs a role", Node::kMessages, "missing_field");
    }
  }
  if (error_) {
    throw RequestError(*error_);
  }
  if (chat) {
    request_.prompt = promptOfMessages(messages_);
  }
  return std::move(request_);
}

}  // namespace

std::string promptOfMessages(const std::vector<ChatMessage>& messages) {
  constexpr std::string_view kOpen = "<|";
  constexpr std::string_view kClose = "|>\n";
  constexpr std::string_view kAssistantRole = "assistant";
  std::size_t size = kOpen.size() + kAssistantRole.size() + kClose.size();
  for (const ChatMessage& message : messages) {
    size += kOpen.size() + message.role.size() + kClose.size() + message.content.size() + 1;
  }
  std::string prompt;
  prompt.reserve(size);
  for (const ChatMessage& message : messages) {
    prompt.append(kOpen).append(message.role).append(kClose).append(message.content) += '\n';
  }
  prompt.append(kOpen).append(kAssistantRole).append(kClose);
  return prompt;
}

CompletionRequest parseCompletionRequest(CompletionKind kind, std::string_view body) {
  RequestReader reader(kind);
  const bool whole = Json::sax_parse(body, &reader);
  if (!whole && !reader.error()) {
    throw RequestError(invalidRequestError("body is not valid JSON", "", "invalid_json"));
  }
  return reader.finish();
}

}  // namespace cypresswall::gateway
