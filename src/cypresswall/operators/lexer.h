/// Splits an operator's command into words, quoted texts and comparison operators.
#pragma once

#include <string>
#include <string_view>
#include <vector>

#include "cypresswall/common/errors.h"

namespace cypresswall::operators {

enum class TokenKind {
  kWord,
  kQuoted,    ///< a text in double quotes; never a keyword
  kOperator,  ///< one of = != < <= > >=
  kEnd,
};

struct Token {
  TokenKind kind = TokenKind::kEnd;
  /// Without quotes and escapes.
  std::string text;
  /// Place in the command, in bytes.
  std::size_t position = 0;
  std::size_t length = 0;
};

/// A command that can't be understood, with the place at fault.
class ParseError : public common::Error {
 public:
  ParseError(const std::string& message, std::size_t position, std::size_t length,
             std::string suggestion = {}, std::vector<std::string> expected = {})
      : common::Error(message),
        position_(position),
        length_(length),
        suggestion_(std::move(suggestion)),
        expected_(std::move(expected)) {}

  std::size_t position() const { return position_; }
  std::size_t length() const { return length_; }
  /// Nearest known word; empty if none is near.
  const std::string& suggestion() const { return suggestion_; }
  /// Words that could stand at the place, if they can be listed.
  const std::vector<std::string>& expected() const { return expected_; }

 private:
  std::size_t position_;
  std::size_t length_;
  std::string suggestion_;
  std::vector<std::string> expected_;
};

/// Longest command that is read, in bytes.
inline constexpr std::size_t kMaximumCommandBytes = 64U << 10;

/// \return the tokens, the last of kind kEnd.
/// \throws ParseError at an unclosed quote, or if the command is too long
std::vector<Token> tokenize(std::string_view command);

/// \return `text` as it is, or quoted if it would not be read back as one word.
std::string quoteWord(std::string_view text);

/// \return the command with a caret under the place at fault and the message below it.
std::string renderError(std::string_view command, const std::string& message, std::size_t position,
                        std::size_t length, const std::string& suggestion);

}  // namespace cypresswall::operators
