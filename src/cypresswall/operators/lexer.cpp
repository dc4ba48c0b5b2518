#include "cypresswall/operators/lexer.h"

#include <algorithm>
#include <cctype>

namespace cypresswall::operators {
namespace {

bool isBlank(char c) { return std::isspace(static_cast<unsigned char>(c)) != 0; }
bool isOperatorStart(char c) { return c == '=' || c == '!' || c == '<' || c == '>'; }
bool endsWord(char c) { return isBlank(c) || isOperatorStart(c) || c == '"'; }

class Lexer {
 public:
  explicit Lexer(std::string_view command) : command_(command) {}

  std::vector<Token> run() {
    std::vector<Token> tokens;
    for (skipBlanks(); position_ < command_.size(); skipBlanks()) {
      tokens.push_back(next());
    }
    tokens.push_back(Token{TokenKind::kEnd, "", command_.size(), 1});
    return tokens;
  }

 private:
  void skipBlanks() {
    while (position_ < command_.size() && isBlank(command_[position_])) {
      ++position_;
    }
  }

  Token next() {
    const char c = command_[position_];
    if (c == '"') {
      return quoted();
    }
    return isOperatorStart(c) ? comparison() : word();
  }

  Token quoted() {
    const std::size_t start = position_++;
    std::string text;
    while (position_ < command_.size() && command_[position_] != '"') {
      const bool escaped = command_[position_] == '\\' && position_ + 1 < command_.size();
      position_ += escaped ? 1 : 0;
      text += command_[position_++];
    }
    if (position_ == command_.size()) {
      throw ParseError("the quote is not closed", start, command_.size() - start);
    }
    ++position_;
    return Token{TokenKind::kQuoted, std::move(text), start, position_ - start};
  }

  Token comparison() {
    const std::size_t start = position_++;
    if (position_ < command_.size() && command_[position_] == '=' && command_[start] != '=') {
      ++position_;
    }
    const std::string text(command_.substr(start, position_ - start));
    if (text == "!") {
      throw ParseError("is not an operator", start, 1, "!=", {"!="});
    }
    return Token{TokenKind::kOperator, text, start, position_ - start};
  }

  Token word() {
    const std::size_t start = position_;
    while (position_ < command_.size() && !endsWord(command_[position_])) {
      ++position_;
    }
    return Token{TokenKind::kWord, std::string(command_.substr(start, position_ - start)), start,
                 position_ - start};
  }

  std::string_view command_;
  std::size_t position_ = 0;
};

}  // namespace

std::vector<Token> tokenize(std::string_view command) {
  if (command.size() > kMaximumCommandBytes) {
    throw ParseError("the command is too long", kMaximumCommandBytes, 1);
  }
  return Lexer(command).run();
}

std::string quoteWord(std::string_view text) {
  if (!text.empty() && std::none_of(text.begin(), text.end(), endsWord)) {
    return std::string(text);
  }
  std::string quoted = "\"";
  for (const char c : text) {
    if (c == '"' || c == '\\') {
      quoted += '\\';
    }
    quoted += c;
  }
  quoted += '"';
  return quoted;
}

std::string renderError(std::string_view command, const std::string& message, std::size_t position,
                        std::size_t length, const std::string& suggestion) {
  std::string text;
  for (const char c : command) {
    text += std::iscntrl(static_cast<unsigned char>(c)) != 0 ? ' ' : c;
  }
  text += '\n';
  text.append(std::min(position, command.size()), ' ');
  text.append(std::max<std::size_t>(length, 1), '^');
  text.append("\n").append(message);
  if (!suggestion.empty()) {
    text.append("; did you mean \"").append(suggestion).append("\"?");
  }
  return text;
}

}  // namespace cypresswall::operators
