/// Splits a command into words, quoted strings and comparison operators.
#pragma once

#include <string>
#include <string_view>
#include <vector>

#include "cypresswall/common/errors.h"

namespace cypresswall::operators {

enum class TokenKind {
  kWord,
  kQuoted,    ///< double-quoted string; never a keyword
  kOperator,  ///< one of = != < <= > >=
  kEnd,
};

struct Token {
  TokenKind kind = TokenKind::kEnd;
  /// Text of the token, without quotes and escape characters.
  std::string text;
  /// Byte offset in the command.
  std::size_t position = 0;
  std::size_t length = 0;
};

/// A syntax error and its location.
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
  /// The most similar known word; empty if there is none.
  const std::string& suggestion() const { return suggestion_; }
  /// The words that are valid at this position; empty if any name is valid there.
  const std::vector<std::string>& expected() const { return expected_; }

 private:
  std::size_t position_;
  std::size_t length_;
  std::string suggestion_;
  std::vector<std::string> expected_;
};

inline constexpr std::size_t kMaximumCommandBytes = 64U << 10;

/// \return the tokens of a command; the last one is of kind kEnd.
/// \throws ParseError if a quote is not closed or the command exceeds kMaximumCommandBytes
std::vector<Token> tokenize(std::string_view command);

/// \return `text`, quoted if it would not be parsed as one word.
std::string quoteWord(std::string_view text);

/// \return three lines for display: the command, a caret under the error location, and the message.
std::string renderError(std::string_view command, const std::string& message, std::size_t position,
                        std::size_t length, const std::string& suggestion);

}  // namespace cypresswall::operators
