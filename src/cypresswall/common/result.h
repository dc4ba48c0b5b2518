/// The answer of an asynchronous call: a value, or a typed failure with a message for people.
#pragma once

#include <string>
#include <utility>
#include <variant>

namespace cypresswall::common {

/// What went wrong in an asynchronous call. `Kind` is the layer's own enumeration.
template <typename Kind>
struct Failure {
  Kind kind;
  std::string message;
};

/// Either a value or a Failure.
template <typename Value, typename Kind>
class Result {
 public:
  Result(Value value) : content_(std::move(value)) {}              // NOLINT: implicit by intent
  Result(Failure<Kind> failure) : content_(std::move(failure)) {}  // NOLINT: implicit by intent

  bool ok() const { return std::holds_alternative<Value>(content_); }
  /// \pre ok()
  const Value& value() const { return std::get<Value>(content_); }
  Value& value() { return std::get<Value>(content_); }
  /// \pre !ok()
  const Failure<Kind>& failure() const { return std::get<Failure<Kind>>(content_); }

 private:
  std::variant<Value, Failure<Kind>> content_;
};

/// The value of a call that gives nothing back.
struct Done {};

}  // namespace cypresswall::common
